// Records that were accepted while the key-value service was down, until they are journaled: kept by the
// host that accepted them, and copied to other hosts of the zone.
//
// A copy is never read as the truth. It is bounded, expires, and is only ever replayed into the journal.
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

/// Where a record would survive.
enum class Durability { Memory, Peer, Journal };

/// What a host sends to another of its zone: records of one value that are not journaled yet, and the ids
/// of earlier ones that are.
struct PeerCopy {
    std::string holder; ///< "<host>#<incarnation>" that accepted the records.
    std::string key; ///< Value in the service that they belong to.
    std::vector<Record> records;
    std::vector<std::string> journaled;
};

struct BufferLimits {
    std::size_t maxRecords = 4'096;
    std::size_t maxBytes = 4 << 20;
    Duration refreshInterval { 60'000 }; ///< A copy is sent again after it, so that it does not expire.
    Duration copyExpiry { 3'000'000 }; ///< Since the last refresh; shorter than the journal keeps ends.
    Duration maxFlushDelay { 3'000 }; ///< Holders of copies start at a random time within it.
};

/// Of the host that accepted the records.
class OutageBuffer {
public:
    OutageBuffer(std::string holder, BufferLimits limits);

    /// False when the bound is reached: the record must be refused.
    bool add(const std::string& key, const Record& record);
    void onJournaled(const std::string& key, const std::string& id);
    /// A peer has confirmed a copy.
    void onCopied(const PeerCopy& copy);
    /// The membership lost the peers that had copies; they are sent again.
    void onPeersLost();

    /// What to send to every chosen peer now.
    std::vector<PeerCopy> dueCopies(TimePoint now);
    /// Journal for a record that is not here any more.
    Durability durabilityOf(const std::string& key, const std::string& id) const;
    std::size_t size() const { return m_count; }

private:
    struct Entry {
        Record record;
        bool copied = false;
        TimePoint sendAt; ///< Of the next copy.
    };
    struct Value {
        std::map<std::string, Entry> entries; ///< By record id.
        std::vector<std::string> journaled; ///< Not told to the peers yet.
    };

    std::string m_holder;
    BufferLimits m_limits;
    std::map<std::string, Value> m_values; ///< By key.
    std::size_t m_count = 0;
    std::size_t m_bytes = 0;
};

/// Of a host that holds copies for others.
class PeerCopies {
public:
    PeerCopies(BufferLimits limits, std::uint64_t seed);

    /// False when the bound is reached; the sender then has no copy here.
    bool store(const PeerCopy& copy, TimePoint now);
    /// Membership confirmed that the holder is gone: its records are to be flushed.
    void onHolderGone(const std::string& holder, TimePoint now);
    void onHolderBack(const std::string& holder);
    /// Records to add to the committer of their value, once the service answers again. They stay here until
    /// onJournaled.
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
    bool m_serviceAnswered = false; ///< The service answered at the last takeFlush.
};

} // namespace jujubereach::journal
