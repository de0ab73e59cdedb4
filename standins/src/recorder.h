// What a stand-in really did, in order: append-only, read by the observer alone.
#pragma once

#include "jujubereach/base/time.h"
#include "jujubereach/platform/json.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace jujubereach::standins {

using platform::JsonObject;

/// Starts an event; the recorder adds "seq" and "at" (milliseconds since 1970).
JsonObject::Ptr newEvent(const std::string& kind);

/// Thread-safe.
class Recorder {
public:
    void add(JsonObject::Ptr event);
    /// Records an event that happened at `at` on the steady clock, such as a lease that lapsed unnoticed.
    void addAt(JsonObject::Ptr event, TimePoint at);
    /// {"events":[...]} of the events whose sequence number is above `after`.
    std::string toText(std::uint64_t after) const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_events; ///< Guarded by m_mutex; sequence number i + 1 stands at index i.
};

} // namespace jujubereach::standins
