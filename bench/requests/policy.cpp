#include "policy.h"

#include "workload.h"

#include <deque>

namespace jujubereach::bench {

namespace {

    class FairQueue : public Queue {
    public:
        explicit FairQueue(std::uint64_t seed)
            : m_queue(shop(), admission::Bounds(), seed)
        {
        }

        void setSlots(std::uint32_t slots, TimePoint now) override { m_queue.setSlots(slots, now); }
        bool offer(const admission::Request& request, TimePoint now) override
        {
            return !m_queue.offer(request, now);
        }
        std::optional<admission::Request> next(TimePoint now) override { return m_queue.next(now); }
        std::vector<RequestId> givenUp(TimePoint now) override
        {
            std::vector<RequestId> ids;
            for (const auto& given : m_queue.expire(now))
                ids.push_back(given.request.id);
            return ids;
        }
        void completed(const RequestId& id, Duration took, TimePoint now) override
        {
            m_queue.completed(id, took, now);
        }
        void unanswered(const RequestId& id, Duration took, TimePoint now) override
        {
            m_queue.unanswered(id, took, now);
        }
        std::uint32_t waiting() const override { return m_queue.waiting(); }

    private:
        admission::AdmissionQueue m_queue;
    };

    // One bounded queue, refused only when full.
    class FifoQueue : public Queue {
    public:
        void setSlots(std::uint32_t, TimePoint) override { }
        bool offer(const admission::Request& request, TimePoint) override
        {
            if (m_queue.size() >= admission::Bounds().host)
                return false;
            m_queue.push_back(request);
            return true;
        }
        std::optional<admission::Request> next(TimePoint) override
        {
            if (m_queue.empty())
                return std::nullopt;
            auto request = m_queue.front();
            m_queue.pop_front();
            return request;
        }
        std::vector<RequestId> givenUp(TimePoint) override { return {}; }
        void completed(const RequestId&, Duration, TimePoint) override { }
        void unanswered(const RequestId&, Duration, TimePoint) override { }
        std::uint32_t waiting() const override { return static_cast<std::uint32_t>(m_queue.size()); }

    private:
        std::deque<admission::Request> m_queue;
    };

} // namespace

std::unique_ptr<Queue> makeQueue(Policy policy, std::uint64_t seed)
{
    if (policy == Policy::Fair)
        return std::make_unique<FairQueue>(seed);
    return std::make_unique<FifoQueue>();
}

} // namespace jujubereach::bench
