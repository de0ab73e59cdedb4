// The key-value service's store: compare-and-swap, one revision counter, watches by prefix.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/platform/kv.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace jujubereach::standins {

/// Thread-safe.
class KvStore {
public:
    platform::KvReply get(const std::string& key) const;
    platform::KvReply list(const std::string& prefix) const;
    platform::KvReply compareAndSwap(const std::string& key, const std::string& value, Revision expected);
    platform::KvReply remove(const std::string& key, Revision expected);
    /// Waits until a key under `prefix` changed after `after`, `wait` has passed or `interrupted` says so.
    platform::KvReply watch(const std::string& prefix, Revision after, Duration wait,
        const std::function<bool()>& interrupted) const;

private:
    struct Stored {
        std::string value;
        Revision revision;
        bool removed = false; ///< Kept so that watches report the removal.
    };

    platform::KvReply changedAfter(const std::string& prefix, Revision after) const;
    platform::KvReply write(const std::string& key, Stored stored, Revision expected);
    Revision revisionOf(const std::string& key) const;

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::map<std::string, Stored> m_entries; ///< Guarded by m_mutex.
    Revision m_revision; ///< Guarded by m_mutex; of the last write.
};

} // namespace jujubereach::standins
