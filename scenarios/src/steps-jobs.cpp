// Steps that submit and cancel jobs.
#include "steps.h"

#include <thread>

namespace jujubereach::scenarios {

namespace {

    constexpr Duration retryInterval { 200 };

    JobSpec readJob(Run& run, Fields& fields)
    {
        JobSpec spec;
        spec.workspace = fields.text("workspace");
        spec.workClass = fields.text("class");
        spec.caller = fields.text("caller", "caller-1");
        spec.key = fields.text("key", run.unique("job"));
        spec.kind = fields.text("kind", spec.kind);
        spec.shape = fields.text("shape");
        spec.accelerators = static_cast<std::uint32_t>(fields.number("accelerators", spec.accelerators));
        spec.runTime = fields.duration("runTimeMs", spec.runTime);
        spec.checkpointTime = fields.duration("checkpointTimeMs", spec.checkpointTime);
        spec.isCheckpointable = fields.flag("checkpointable", spec.isCheckpointable);
        spec.isRestartable = fields.flag("restartable", spec.isRestartable);
        return spec;
    }

    bool isExpected(const JobCall& call, const std::string& expected, const std::string& reason)
    {
        if (expected == "any")
            return true;
        if (expected == "accepted")
            return !call.job.empty();
        return expected == "refused" && call.answered && call.ran == Ran::No && !call.reference.empty()
            && (call.error + " " + call.what).find(reason) != std::string::npos;
    }

    std::string describe(const JobCall& call)
    {
        if (!call.job.empty())
            return "accepted by " + call.host.str() + " as " + call.job.str();
        if (!call.answered)
            return "not answered by " + call.host.str();
        return "refused by " + call.host.str() + " with " + std::to_string(call.status) + " " + call.error
            + ": " + call.what + " (reference " + call.reference + ")";
    }

    std::string narrationOf(const std::string& name, const JobSpec& spec, const JobCall& call)
    {
        return "  Job '" + name + "' of " + std::to_string(spec.accelerators) + " accelerators was "
            + describe(call) + ".";
    }

    Error mismatchOf(const std::string& name, const std::string& expected, const JobCall& call)
    {
        return { ErrorCode::Unknown,
            "job '" + name + "' should be " + expected + ", but was " + describe(call), {}, {} };
    }

    // With "withinMs" the caller retries under the same key until the answer is as expected.
    Result<void> submit(Run& run, Fields& fields)
    {
        const auto spec = readJob(run, fields);
        const auto name = fields.text("as", spec.key);
        const auto via = fields.text("via", "any");
        const auto expected = fields.text("expect", "accepted");
        const auto reason = fields.text("reason");
        const auto end = steadyClock()() + fields.duration("withinMs", Duration(0));
        const bool isBounded = fields.has("runsWithinMs");
        const auto runsWithin = fields.duration("runsWithinMs", Duration(0));
        for (;;) {
            BOOST_LEAF_AUTO(target, run.host(via));
            auto call = submitJob(target, spec);
            call.name = name;
            if (isBounded)
                call.runsWithin = runsWithin;
            run.add(call);
            if (isExpected(call, expected, reason)) {
                run.narrate(narrationOf(name, spec, call));
                return {};
            }
            if (steadyClock()() >= end)
                return fail(mismatchOf(name, expected, call));
            std::this_thread::sleep_for(retryInterval);
        }
    }

    Result<void> cancel(Run& run, Fields& fields)
    {
        BOOST_LEAF_AUTO(job, run.job(fields.text("job")));
        BOOST_LEAF_AUTO(target, run.host(fields.text("via", "any")));
        HttpCall call;
        call.address = target.address;
        call.method = "DELETE";
        call.path = "/v1/jobs/" + escapeQuery(job.str());
        if (!callHttp(call).isOk())
            return fail({ ErrorCode::Unavailable, "the job can't be cancelled", job.str(), {} });
        run.narrate("  Job " + job.str() + " was cancelled.");
        return {};
    }

} // namespace

void addJobSteps(Steps& steps)
{
    steps["submit"] = submit;
    steps["cancel"] = cancel;
}

} // namespace jujubereach::scenarios
