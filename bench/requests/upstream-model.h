// Upstreams of the model: slots, slow and failing ones, and ones that cannot be reached.
#pragma once

#include "events.h"

#include "jujubereach/dispatch/upstreams.h"

#include <functional>
#include <map>

namespace jujubereach::bench {

enum class Fault {
    None,
    Unreachable, ///< Nothing can be sent.
    Silent, ///< Takes requests and never answers.
    Failing, ///< Answers 500 at once.
};

struct ModelUpstream {
    dispatch::UpstreamInfo info;
    Fault fault = Fault::None;
    double slowness = 1;
    std::uint32_t running = 0;
    std::uint64_t sent = 0; ///< Requests that reached it.
    std::uint64_t busy = 0; ///< Answers that no slot was free.
};

class ModelUpstreams {
public:
    ModelUpstreams(Events& events, int count, std::uint32_t slots);

    using Answered = std::function<void(const platform::UpstreamAnswer&)>;
    /// Sends a request that takes `work` on a slot; answers in virtual time, after `timeout` at the latest.
    void send(const UpstreamId& id, Micros work, Micros timeout, const Answered& answered);

    std::vector<dispatch::UpstreamInfo> list() const;
    std::map<UpstreamId, ModelUpstream>& all() { return m_upstreams; }
    std::uint64_t busyAnswers() const;

private:
    void run(ModelUpstream& upstream, Micros work, Micros timeout, const Answered& answered);

    Events& m_events;
    std::map<UpstreamId, ModelUpstream> m_upstreams;
};

} // namespace jujubereach::bench
