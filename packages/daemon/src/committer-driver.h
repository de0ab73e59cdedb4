// Runs a group committer: carries its calls to the service and its completions back.
#pragma once

#include "call-driver.h"

#include <functional>
#include <memory>
#include <string>

namespace jujubereach::daemon {

class CommitterDriver {
public:
    CommitterDriver(Context& ctx, journal::CommitterConfig config, journal::ApplyRecords apply,
        std::function<void(const journal::Completion&)> onCompletion);

    bool add(journal::Record record);
    journal::CommitStatus withdraw(const std::string& id) { return m_committer.withdraw(id); }
    void requestRead();
    const journal::GroupCommitter& committer() const { return m_committer; }

private:
    void complete();

    Context& m_ctx;
    const std::function<void(const journal::Completion&)> m_onCompletion;
    journal::GroupCommitter m_committer;
    std::shared_ptr<CallDriver> m_driver; ///< Last: its callbacks use the rest, and end with it.
};

} // namespace jujubereach::daemon
