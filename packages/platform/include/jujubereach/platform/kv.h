// Interface of the platform's key-value service, as functions that tests and stand-ins can replace.
#pragma once

#include "jujubereach/base/id.h"
#include "jujubereach/base/time.h"

#include <functional>
#include <string>
#include <vector>

namespace jujubereach::platform {

/// Largest value that the service accepts.
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
    Limited, ///< Refused by the rate limit; nothing was written.
    TooLarge,
    Unreachable, ///< The call was provably not sent; nothing was written.
    Unknown, ///< No reply; a write may have taken effect.
};

struct KvReply {
    KvStatus status = KvStatus::Unknown;
    std::vector<KvEntry> entries;
    Revision revision; ///< Of the write, or of the store when a list or watch was answered.
};

/// Blocking calls, made by traffic threads only. Each counts against the service's limits; a waiting watch
/// counts as one call.
struct KvService {
    std::function<KvReply(const std::string& key)> get;
    std::function<KvReply(const std::string& prefix)> list;
    /// Writes when the key is at `expected`; revision 0 means that the key must be absent.
    std::function<KvReply(const std::string& key, const std::string& value, Revision expected)>
        compareAndSwap;
    std::function<KvReply(const std::string& key, Revision expected)> remove;
    /// Waits up to `wait` for a change under `prefix` with a revision above `after`. Returns the changed
    /// entries, none on timeout; a removed key has an empty value.
    std::function<KvReply(const std::string& prefix, Revision after, Duration wait)> watch;
};

/// Connects to the service over HTTP. `timeout` bounds each call; a watch may take its `wait` in
/// addition. `caller` is sent with each call and identifies this host to the service.
KvService httpKvService(const std::string& address, Duration timeout, const std::string& caller);

} // namespace jujubereach::platform
