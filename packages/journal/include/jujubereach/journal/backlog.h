// Records on their way to a committer, which takes a bounded number of them.
#pragma once

#include "jujubereach/journal/group-log.h"

#include <deque>
#include <functional>
#include <string>

namespace jujubereach::journal {

class Backlog {
public:
    struct Hooks {
        std::function<bool(const Record&)> add; ///< False while the committer has no room.
        std::function<CommitStatus(const std::string& id)> withdraw; ///< From the committer.
    };

    explicit Backlog(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    /// Records keep their order; what does not fit into the committer waits here.
    void add(Record record)
    {
        m_waiting.push_back(std::move(record));
        pump();
    }

    void pump()
    {
        while (!m_waiting.empty() && m_hooks.add(m_waiting.front()))
            m_waiting.pop_front();
    }

    /// See `GroupCommitter::withdraw`.
    CommitStatus withdraw(const std::string& id)
    {
        const auto waited = std::erase_if(m_waiting, [&](const Record& record) { return record.id == id; });
        return waited > 0 ? CommitStatus::NotWritten : m_hooks.withdraw(id);
    }

private:
    const Hooks m_hooks;
    std::deque<Record> m_waiting; ///< In order.
};

} // namespace jujubereach::journal
