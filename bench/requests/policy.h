// The queue of an entry host in the model: the product's, or a first-in-first-out baseline.
#pragma once

#include "jujubereach/admission/queue.h"

#include <memory>

namespace jujubereach::bench {

/// The part of AdmissionQueue that the model drives.
class Queue {
public:
    virtual ~Queue() = default;

    virtual void setSlots(std::uint32_t slots, TimePoint now) = 0;
    virtual bool offer(const admission::Request& request, TimePoint now) = 0;
    virtual std::optional<admission::Request> next(TimePoint now) = 0;
    virtual std::vector<RequestId> givenUp(TimePoint now) = 0;
    virtual void completed(const RequestId& id, Duration took, TimePoint now) = 0;
    virtual void unanswered(const RequestId& id, Duration took, TimePoint now) = 0;
    virtual std::uint32_t waiting() const = 0;
};

enum class Policy { Fair, Fifo };

std::unique_ptr<Queue> makeQueue(Policy policy, std::uint64_t seed);

} // namespace jujubereach::bench
