#include "jujubereach/admission/queue.h"

#include "core.h"

namespace jujubereach::admission {

AdmissionQueue::AdmissionQueue(const manifest::Manifest& manifest, const Bounds& bounds, std::uint64_t seed)
    : m_core(std::make_unique<Core>(bounds, seed))
{
    m_core->configure(manifest, TimePoint());
}

AdmissionQueue::~AdmissionQueue() = default;
AdmissionQueue::AdmissionQueue(AdmissionQueue&&) noexcept = default;
AdmissionQueue& AdmissionQueue::operator=(AdmissionQueue&&) noexcept = default;

void AdmissionQueue::configure(const manifest::Manifest& manifest, TimePoint now)
{
    m_core->configure(manifest, now);
}

void AdmissionQueue::setSlots(std::uint32_t slots, TimePoint now)
{
    m_core->setSlots(slots, now);
}

std::optional<Refusal> AdmissionQueue::offer(const Request& request, TimePoint now)
{
    return m_core->offer(request, now);
}

std::optional<Request> AdmissionQueue::next(TimePoint now)
{
    return m_core->next(now);
}

std::vector<GivenUp> AdmissionQueue::expire(TimePoint now)
{
    return m_core->expire(now);
}

bool AdmissionQueue::abandon(const RequestId& id)
{
    return m_core->abandon(id);
}

void AdmissionQueue::completed(const RequestId& id, Duration took, TimePoint now)
{
    m_core->completed(id, took, now);
}

void AdmissionQueue::unanswered(const RequestId& id, Duration took, TimePoint now)
{
    m_core->unanswered(id, took, now);
}

void AdmissionQueue::notRun(const RequestId& id)
{
    m_core->notRun(id);
}

Duration AdmissionQueue::predictedWait(const Request& request, TimePoint now) const
{
    return m_core->predictedWait(request, now);
}

bool AdmissionQueue::empty() const
{
    return m_core->waiting() == 0;
}

std::uint32_t AdmissionQueue::waiting() const
{
    return m_core->waiting();
}

Snapshot AdmissionQueue::snapshot(TimePoint now) const
{
    return m_core->snapshot(now);
}

} // namespace jujubereach::admission
