// Copies of records that are not durable yet: this host's own, spread to its peers, and the peers', kept
// here until they are durable. Flushed when their owner is gone and the service answers.
#pragma once

#include "cluster.h"
#include "committer-driver.h"
#include "context.h"
#include "jujubereach/journal/outage-buffer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::daemon {

class Copies {
public:
    Copies(Context& ctx, Cluster& cluster);

    void start();

    /// Gives the record to the other hosts of the zone; `then` hears whether one took it. False when the
    /// bound is reached.
    bool spread(
        const std::string& key, const journal::Record& record, const std::function<void(bool copied)>& then);
    /// The record is durable: the copies may go.
    void release(const std::string& key, const std::string& recordId);
    /// Sends a copy to every peer; `then` hears whether one took it.
    void send(const journal::PeerCopy& copy, const std::function<void(bool copied)>& then);

    /// A peer's records. False when the bound is reached.
    bool keep(const wire::PeerCopyT& message);
    std::size_t count() const { return m_kept.size(); }

private:
    void sendDue();
    void noteGoneHolders();
    void flush();
    CommitterDriver& writerOf(const std::string& key);

    Context& m_ctx;
    Cluster& m_cluster;
    journal::OutageBuffer m_own;
    journal::PeerCopies m_kept;
    std::set<std::string> m_holders; ///< Of m_kept, by "<host>#<incarnation>".
    std::map<std::string, std::unique_ptr<CommitterDriver>> m_writers; ///< By key in the service.
};

} // namespace jujubereach::daemon
