// The JSON of a job as any caller may send it.
#include "fuzz-target.h"

#include "jujubereach/users/codec.h"

using namespace jujubereach;

namespace {

constexpr std::int64_t maxTasks = 10'000; // Per job, as the decoder allows.

void checkStep(const fleet::StepSpec& step, std::size_t index)
{
    const auto& needs = step.resources;
    fuzz::require(step.count >= 1, "a step has tasks");
    fuzz::require(needs.milliCores >= 0 && needs.memoryMb >= 0 && needs.accelerators >= 0,
        "a task needs no negative amount");
    fuzz::require(step.estimate.count() >= 0 && step.tailTarget.count() >= 0, "no time is negative");
    fuzz::require(step.maxPerWorker >= 0 && step.maxUnavailable >= 0, "no bound is negative");
    for (const auto earlier : step.after)
        fuzz::require(earlier >= 0 && static_cast<std::size_t>(earlier) < index,
            "a step waits only for earlier steps"); // Else a job could wait for itself.
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string body(reinterpret_cast<const char*>(data), size);
    const auto job = users::decodeJobSpec(body);
    if (!job)
        return 0;
    std::int64_t tasks = 0;
    for (std::size_t i = 0; i < job->steps.size(); ++i) {
        checkStep(job->steps[i], i);
        tasks += job->steps[i].count;
    }
    fuzz::require(!job->steps.empty() && job->steps.size() <= body.size(), "the steps are those of the body");
    fuzz::require(tasks <= maxTasks, "a job has no more tasks than allowed");
    fuzz::require(job->payload.size() <= body.size(), "the payload is part of the body");
    fuzz::require(job->repeatCount >= 0 && job->interval.count() >= 0, "repetitions are not negative");
    return 0;
}
