// A key-value service in virtual time with seeded faults: lost requests, lost replies, writes that take
// effect late, rate limiting and outages.
#pragma once

#include "jujubereach/base/random.h"
#include "jujubereach/journal/group-log.h"

#include <map>
#include <vector>

namespace jujubereach::journal::test {

struct ServiceFaults {
    double lostRequests = 0; ///< Fraction of calls, as for the next three.
    double lostReplies = 0;
    double lateWrites = 0; ///< The call gets no reply, and the write takes effect later or never.
    double limited = 0;
    /// For the counter-test: a reader cannot tell whether its write took effect.
    bool hidesOperationIds = false;
};

class FakeService {
public:
    FakeService(std::uint64_t seed, ServiceFaults faults)
        : m_random(seed)
        , m_faults(faults)
    {
    }

    platform::KvReply call(const KvCall& call, TimePoint now)
    {
        using platform::KvStatus;
        applyLateWrites(now);
        ++(call.kind == CallKind::Read ? reads : writes);
        if (isDown)
            return { m_random.below(2) == 0 ? KvStatus::Unreachable : KvStatus::Unknown, {}, {} };
        double draw = m_random.unit();
        if (draw < m_faults.limited)
            return { KvStatus::Limited, {}, {} };
        draw -= m_faults.limited;
        if (draw < m_faults.lostRequests)
            return { KvStatus::Unknown, {}, {} };
        draw -= m_faults.lostRequests;
        if (draw < m_faults.lateWrites && call.kind == CallKind::Write) {
            m_late.push_back({ call, now + Duration(m_random.below(2'000)) });
            return { KvStatus::Unknown, {}, {} };
        }
        draw -= m_faults.lateWrites;
        auto reply = executeCall(call);
        if (draw < m_faults.lostReplies)
            return { KvStatus::Unknown, {}, {} };
        return reply;
    }

    std::map<std::string, platform::KvEntry> values;
    bool isDown = false;
    std::uint32_t reads = 0;
    std::uint32_t writes = 0;

private:
    struct LateWrite {
        KvCall call;
        TimePoint at;
    };

    platform::KvReply executeCall(const KvCall& call)
    {
        using platform::KvStatus;
        auto& entry = values[call.key];
        if (call.kind == CallKind::Read) {
            if (entry.revision.value == 0)
                return { KvStatus::NotFound, {}, {} };
            auto answer = entry;
            if (m_faults.hidesOperationIds)
                answer.value = answer.value.substr(answer.value.find('\n'));
            return { KvStatus::Ok, { answer }, {} };
        }
        if (call.expected != entry.revision)
            return { KvStatus::Conflict, {}, {} };
        entry = { call.key, call.value, Revision { ++m_revision } };
        return { KvStatus::Ok, {}, entry.revision };
    }

    void applyLateWrites(TimePoint now)
    {
        for (const auto& late : std::exchange(m_late, {})) {
            if (now < late.at)
                m_late.push_back(late);
            else
                executeCall(late.call);
        }
    }

    Random m_random;
    ServiceFaults m_faults;
    std::uint64_t m_revision = 0;
    std::vector<LateWrite> m_late;
};

} // namespace jujubereach::journal::test
