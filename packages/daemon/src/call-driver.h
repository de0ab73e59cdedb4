// Carries the calls that a part wants to the service, one at a time, within the host's budget.
#pragma once

#include "context.h"
#include "jujubereach/journal/group-log.h"

#include <functional>
#include <memory>
#include <optional>

namespace jujubereach::daemon {

/// The part that wants calls; see journal::GroupCommitter for the meaning of each.
struct CallSource {
    std::function<std::optional<journal::KvCall>(TimePoint, journal::CallBudget&)> next;
    std::function<void(const platform::KvReply&, TimePoint)> onReply;
    std::function<TimePoint()> nextDue;
    /// Runs after next() and onReply(), to take what has completed. May be empty.
    std::function<void()> onProgress;
};

class CallDriver : public std::enable_shared_from_this<CallDriver> {
public:
    static std::shared_ptr<CallDriver> create(Context& ctx, CallSource source);

    /// Something is wanted now.
    void advance();

private:
    CallDriver(Context& ctx, CallSource source);
    void wakeLater();
    void onReply(const platform::KvReply& reply);
    void progress();

    Context& m_ctx;
    const CallSource m_source;
    bool m_calling = false;
    bool m_timerSet = false;
};

} // namespace jujubereach::daemon
