// The platform's key-value service behind hooks, so that any stand-in can take its place.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <functional>
#include <string>
#include <vector>

namespace jujubereach::platform {

/// Largest value that the service takes.
constexpr std::size_t maxValueBytes = 1'000'000;

struct KvEntry {
    std::string key;
    std::string value;
    Revision revision; ///< Of the last change of this key.
};

enum class KvStatus {
    Ok,
    Conflict, ///< The key is not at the expected revision; nothing was written.
    NotFound,
    Limited, ///< The service refused the call for its rate; nothing was written.
    TooLarge,
    Unreachable, ///< The call was provably not sent; nothing was written.
    Unknown, ///< No reply; a write may have taken effect.
};

struct KvReply {
    KvStatus status = KvStatus::Unknown;
    std::vector<KvEntry> entries;
    Revision revision; ///< Of the write, or of the store when a list or watch was answered.
};

/// Blocking calls; made by traffic threads only. Each counts against the service's limits, a waiting
/// watch as one.
struct KvService {
    std::function<KvReply(const std::string& key)> get;
    std::function<KvReply(const std::string& prefix)> list;
    /// Writes when the key is at `expected`; revision 0 means that the key must be absent.
    std::function<KvReply(const std::string& key, const std::string& value, Revision expected)>
        compareAndSwap;
    std::function<KvReply(const std::string& key, Revision expected)> remove;
    /// Waits until a key under `prefix` changes after `after`, or for `wait`; answers the changed
    /// entries, none when the wait ran out. A removed key is answered with an empty value.
    std::function<KvReply(const std::string& prefix, Revision after, Duration wait)> watch;
};

/// Connects to the service over HTTP. `timeout` bounds each call beyond a watch's own wait. `caller` is sent
/// with each call, so that the service can tell its callers apart.
KvService httpKvService(const std::string& address, Duration timeout, const std::string& caller);

} // namespace jujubereach::platform
