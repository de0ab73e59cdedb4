// The requests of this host by id: those in progress, and the answers kept for a later fetch.
#pragma once

#include "jujubereach/dispatch/request.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace jujubereach::dispatch {

struct TableLimits {
    Duration retention { 600'000 }; ///< For which an answer can be fetched.
    std::size_t answerBytes = 64U << 20U; ///< Of all kept answers together.
};

enum class FetchStatus {
    Unknown, ///< No such request of this caller, or its time is over.
    InProgress,
    Found,
};

struct Fetched {
    FetchStatus status = FetchStatus::Unknown;
    FinalAnswer answer; ///< When found.
};

/// Answers are dropped after their retention, and oldest first when they outgrow the bound. A request
/// in progress is never dropped.
class RequestTable {
public:
    explicit RequestTable(const TableLimits& limits)
        : m_limits(limits)
    {
    }

    /// Nothing when a request with this id is known.
    RequestLife* add(RequestInfo info);
    RequestLife* find(const RequestId& id);

    /// Call once the request is final, and again after lateAnswer().
    void keep(const RequestId& id, TimePoint now);

    /// Only its own caller gets an answer.
    Fetched fetch(const RequestId& id, const WorkspaceId& workspace, const CallerId& caller) const;

    /// Drops answers whose time is over.
    void prune(TimePoint now);

    std::size_t inProgress() const { return m_entries.size() - m_kept.size(); }
    std::size_t kept() const { return m_kept.size(); }
    std::size_t answerBytes() const { return m_bytes; }

private:
    struct Kept {
        RequestId id;
        TimePoint since;
        std::size_t bytes = 0;
    };
    struct Entry {
        RequestLife life;
        std::optional<std::list<Kept>::iterator> kept; // set once final
    };

    void dropOldest();

    TableLimits m_limits;
    std::unordered_map<RequestId, Entry> m_entries;
    std::list<Kept> m_kept; // oldest first; one for each entry with `kept`
    std::size_t m_bytes = 0; // sum over m_kept
};

} // namespace jujubereach::dispatch
