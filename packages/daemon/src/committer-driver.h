// Runs a group committer: carries its calls to the service and its completions back.
#pragma once

#include "context.h"
#include "jujubereach/journal/group-log.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jujubereach::daemon {

struct DriverHooks {
    std::function<void(const journal::Completion&)> onCompletion;
    std::function<void()> onReply; ///< After each call to the service, also a failed one. May be empty.
};

class CommitterDriver : public std::enable_shared_from_this<CommitterDriver> {
public:
    static std::shared_ptr<CommitterDriver> create(
        Context& ctx, journal::CommitterConfig config, journal::Apply apply, DriverHooks hooks);

    bool add(journal::Record record);
    journal::CommitStatus withdraw(const std::string& id) { return m_committer.withdraw(id); }
    void requestRead();
    const journal::GroupCommitter& committer() const { return m_committer; }

private:
    CommitterDriver(Context& ctx, journal::CommitterConfig config, journal::Apply apply, DriverHooks hooks);
    void advance();
    void complete();
    void wakeLater();
    void onReply(const platform::KvReply& reply);

    Context& m_ctx;
    const DriverHooks m_hooks;
    journal::GroupCommitter m_committer;
    bool m_calling = false;
    bool m_timerSet = false;
};

} // namespace jujubereach::daemon
