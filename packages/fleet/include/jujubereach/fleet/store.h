// The key-value service that keeps what must last, as the fleet's parts call it.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::fleet {

using StoreLease = Number<struct StoreLeaseTag>; ///< 0 for none.

struct StoreItem {
    std::string key;
    std::string value;
    Revision revision; ///< Of its last change.
    Revision created; ///< Of its creation.
    StoreLease lease;
};

struct StoreEvent {
    StoreItem item;
    bool deleted = false; ///< Then only key and revision of the item are set.
};

enum class StoreFate {
    Done,
    Conflict, ///< A condition did not hold; nothing was done.
    Missing, ///< No such item or lease; nothing was done.
    HistoryGone, ///< The watch cannot go on from this revision.
    Refused, ///< Surely nothing was done; trying later may help.
    Unknown, ///< No answer: it may have been done, or may be done later.
};
const char* nameOf(StoreFate fate);

struct StorePut {
    std::string key;
    std::string value;
    StoreLease lease;
};

struct Expectation {
    std::string key;
    Revision revision; ///< 0: the key must not exist.
};

/// All or nothing; the service takes at most `maxWriteEntries` entries of all three kinds.
struct StoreWrite {
    std::vector<Expectation> expected;
    std::vector<StorePut> puts;
    std::vector<std::string> removes;
};
constexpr std::size_t maxWriteEntries = 32;

struct StoreAnswer {
    StoreFate fate = StoreFate::Unknown;
    std::vector<StoreItem> items; ///< What was read; on a conflict the current state of what was expected.
    std::vector<StoreEvent> events; ///< Of a watch.
    Revision at; ///< The service's revision; of a write, the one it made.
    bool more = false; ///< A further page follows the last key.
    StoreLease lease;
};
using StoreDone = std::function<void(StoreAnswer)>;

/// Each function calls `done` once, later, from the loop.
struct Store {
    std::function<void(std::string key, Duration timeout, StoreDone)> read;
    std::function<void(std::string prefix, std::string after, Duration timeout, StoreDone)> range;
    /// Waits up to `wait` for changes after a revision.
    std::function<void(std::string prefix, Revision after, Duration wait, Duration timeout, StoreDone)> watch;
    std::function<void(StoreWrite, Duration timeout, StoreDone)> write;
    std::function<void(Duration ttl, Duration timeout, StoreDone)> grantLease;
    std::function<void(StoreLease, Duration timeout, StoreDone)> renewLease;
    std::function<void(StoreLease, Duration timeout, StoreDone)> endLease;
};

} // namespace jujubereach::fleet
