// Records that were accepted while the key-value service was down. Until they are journaled, the accepting
// host (their holder) keeps them in memory and sends copies to peers, other hosts of the zone.
//
// Copies are not authoritative: they are bounded, expire, and are only replayed into the journal.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/base/time.h"
#include "jujubereach/journal/group-log.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujubereach::journal {

/// The strongest place where a record is stored.
enum class Durability { Memory, Peer, Journal };

/// Message to a peer: records of one value that are not journaled yet, and the ids of earlier records that
/// have been journaled since.
struct PeerCopy {
    std::string holder; ///< "<host>#<incarnation>" of the host that accepted the records.
    std::string key; ///< Key of the value in the service.
    std::vector<Record> records;
    std::vector<std::string> journaled;
};

struct BufferLimits {
    std::size_t maxRecords = 4'096;
    std::size_t maxBytes = 4 << 20;
    Duration refreshInterval { 60'000 }; ///< Copies are sent again after it, so that they do not expire.
    Duration copyExpiry { 3'000'000 }; ///< Since the last refresh. Shorter than the journal retains ends.
    Duration maxFlushDelay { 3'000 }; ///< Peers with copies start to flush after a random delay up to it.
};

/// Records that this host accepted.
class OutageBuffer {
public:
    OutageBuffer(std::string holder, BufferLimits limits);

    /// Returns false if the buffer is full; the record must then be refused.
    bool add(const std::string& key, const Record& record);
    void onJournaled(const std::string& key, const std::string& id);
    /// Called when a peer has confirmed a copy.
    void onCopied(const PeerCopy& copy);
    /// Called when the peers that have copies have left the membership. All copies are sent again.
    void onPeersLost();

    /// Returns the copies to send now, to each chosen peer.
    std::vector<PeerCopy> dueCopies(TimePoint now);
    /// Returns Journal for a record that is not in the buffer.
    Durability durabilityOf(const std::string& key, const std::string& id) const;
    std::size_t size() const { return m_count; }

private:
    struct Entry {
        Record record;
        bool copied = false;
        TimePoint sendAt; ///< When to send the next copy.
    };
    struct Value {
        std::map<std::string, Entry> entries; ///< By record id.
        std::vector<std::string> journaled; ///< Ids not sent to the peers yet.
    };

    std::string m_holder;
    BufferLimits m_limits;
    std::map<std::string, Value> m_values; ///< By key in the service.
    std::size_t m_count = 0;
    std::size_t m_bytes = 0;
};

/// Copies that this host keeps for other hosts.
class PeerCopies {
public:
    PeerCopies(BufferLimits limits, std::uint64_t seed);

    /// Returns false if there is no room; no record is stored then.
    bool store(const PeerCopy& copy, TimePoint now);
    /// Called when membership has confirmed that the holder is gone. Its records will be flushed.
    void onHolderGone(const std::string& holder, TimePoint now);
    void onHolderBack(const std::string& holder);
    /// Returns records to add to the committer of their value; none while the service does not answer. They
    /// are kept until onJournaled().
    std::vector<PeerCopy> takeFlush(bool serviceAnswers, std::size_t maxRecords, TimePoint now);
    void onJournaled(const std::string& key, const std::string& id);
    void expire(TimePoint now);
    std::size_t size() const { return m_count; }

private:
    struct Entry {
        Record record;
        TimePoint expiresAt;
        bool flushing = false;
    };
    struct Holder {
        std::map<std::string, std::map<std::string, Entry>> values; ///< By key, then by record id.
        bool gone = false;
        TimePoint flushFrom;
    };

    void erase(Holder& holder, const std::string& key, const std::string& id);

    BufferLimits m_limits;
    Random m_random;
    std::map<std::string, Holder> m_holders;
    std::size_t m_count = 0;
    std::size_t m_bytes = 0;
    bool m_serviceAnswered = false; ///< Whether the service answered at the last takeFlush().
};

} // namespace jujubereach::journal
