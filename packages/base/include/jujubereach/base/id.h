// Strong types for ids, so that ids of different kinds cannot be confused.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jujubereach {

/// An id of one kind. Ids of different kinds neither convert nor compare.
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const Id&, const Id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.m_value; }

private:
    std::string m_value;
};

using WorkspaceId = Id<struct WorkspaceTag>;
using ClassId = Id<struct ClassTag>; ///< A priority class of requests.
using CallerId = Id<struct CallerTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using DomainId = Id<struct DomainTag>; ///< A range of adjacent racks with one owner.
using RackId = Id<struct RackTag>;
using HostId = Id<struct HostTag>; ///< An entry host.
using WorkerId = Id<struct WorkerTag>;
using UpstreamId = Id<struct UpstreamTag>;
using JobId = Id<struct JobTag>;
using GangId = Id<struct GangTag>; ///< One attempt of one job: "<job>/<attempt>".
using RequestId = Id<struct RequestTag>;
using ShapeId = Id<struct ShapeTag>;

/// A number of one kind, such as an epoch or a revision.
template <typename Tag> struct Number {
    std::uint64_t value = 0;

    friend auto operator<=>(const Number&, const Number&) = default;
    friend std::ostream& operator<<(std::ostream& out, const Number& number) { return out << number.value; }
};

using Epoch = Number<struct EpochTag>; ///< Increases with every change of a worker's lease holder.
using Revision = Number<struct RevisionTag>; ///< Increases with every change of a value; 0 means absent.
using Incarnation = Number<struct IncarnationTag>; ///< Distinguishes successive starts of a host.

} // namespace jujubereach

template <typename Tag> struct std::hash<jujubereach::Id<Tag>> {
    std::size_t operator()(const jujubereach::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.str());
    }
};
