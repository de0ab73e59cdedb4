// Copies of peers' records that are not durable yet. Bounded; flushed when their owner is gone and the
// service answers; never read as the truth while it does.
#pragma once

#include "cluster.h"
#include "committer-driver.h"
#include "context.h"
#include "jujubereach/journal/group-log.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujubereach::daemon {

class Copies {
public:
    Copies(Context& ctx, Cluster& cluster);

    void start();

    /// Gives the record to the other hosts of the zone; `then` gets the number that took it.
    void spread(const std::string& scope, const journal::Record& record,
        const std::function<void(std::size_t)>& then);
    /// The record is durable: the copies may go.
    void release(const std::string& scope, const std::string& recordId);

    /// A peer's record. False when the bound is reached.
    bool keep(const wire::EnvelopeT& envelope, const wire::CopyRecordsT& copy);
    void drop(const wire::DropCopiesT& copy);
    /// Records that hosts which are gone left for a scope, for a new owner in an outage.
    std::vector<journal::Record> orphansOf(const std::string& scope) const;
    std::size_t count() const;

private:
    struct Copy {
        journal::Record record;
        HostId owner;
        Incarnation incarnation;
        TimePoint keptAt;
        bool flushing = false;
    };
    using Scope = std::map<std::string, Copy>; ///< By record id.

    bool isOrphan(const Copy& copy) const { return m_cluster.isGone(copy.owner, copy.incarnation); }
    void flushOrphans();
    void flush(const std::string& scope, Copy& copy);
    std::shared_ptr<CommitterDriver> writerOf(const std::string& scope);

    Context& m_ctx;
    Cluster& m_cluster;
    std::map<std::string, Scope> m_scopes;
    std::map<std::string, std::shared_ptr<CommitterDriver>> m_writers;
};

} // namespace jujubereach::daemon
