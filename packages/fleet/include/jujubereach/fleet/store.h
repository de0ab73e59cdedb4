// Interface to the key-value service that stores the durable state of the fleet.
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
    Revision revision; ///< Revision of the last change.
    Revision created; ///< Revision of the creation.
    StoreLease lease;
};

struct StoreEvent {
    StoreItem item;
    bool deleted = false; ///< If set, only the key and the revision of the item are valid.
};

enum class StoreFate {
    Done,
    Conflict, ///< An expectation was not met; nothing was written.
    Missing, ///< No such item or lease; nothing was done.
    HistoryGone, ///< The changes after this revision are no longer available.
    Refused, ///< Nothing was done; a retry may succeed.
    Unknown, ///< No answer: the call may have been executed or may be executed later.
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

/// Atomic; at most `maxWriteEntries` entries of all three kinds together.
struct StoreWrite {
    std::vector<Expectation> expected;
    std::vector<StorePut> puts;
    std::vector<std::string> removes;
};
constexpr std::size_t maxWriteEntries = 32;

struct StoreAnswer {
    StoreFate fate = StoreFate::Unknown;
    std::vector<StoreItem> items; ///< Items read; on a conflict the current state of the expected keys.
    std::vector<StoreEvent> events; ///< Changes returned by a watch.
    Revision at; ///< Current revision of the service; for a write, the one it created.
    bool more = false; ///< Another page follows after the last key.
    StoreLease lease;
};
using StoreDone = std::function<void(StoreAnswer)>;

/// Each function calls `done` exactly once, asynchronously, on the event loop.
struct Store {
    std::function<void(std::string key, Duration timeout, StoreDone)> read;
    std::function<void(std::string prefix, std::string after, Duration timeout, StoreDone)> range;
    /// Waits up to `wait` for changes after the revision `after`.
    std::function<void(std::string prefix, Revision after, Duration wait, Duration timeout, StoreDone)> watch;
    std::function<void(StoreWrite, Duration timeout, StoreDone)> write;
    std::function<void(Duration ttl, Duration timeout, StoreDone)> grantLease;
    std::function<void(StoreLease, Duration timeout, StoreDone)> renewLease;
    std::function<void(StoreLease, Duration timeout, StoreDone)> endLease;
};

} // namespace jujubereach::fleet
