#include "jujubereach/fleet/records.h"

#include <boost/json.hpp>

#include <stdexcept>

namespace jujubereach::fleet {

namespace json = boost::json;

namespace {

    constexpr const char* stateNames[] = { "queued", "running", "completed", "failed", "cancelled" };

    constexpr std::int64_t maxStoredTasks = 1'000'000; // Per step; far above what hosts accept.

    // Omits default values.
    void put(json::object& object, const char* name, std::int64_t value)
    {
        if (value != 0)
            object[name] = value;
    }

    void put(json::object& object, const char* name, const std::string& value)
    {
        if (!value.empty())
            object[name] = value;
    }

    std::int64_t number(const json::object& object, const char* name)
    {
        const auto* found = object.if_contains(name);
        return found ? found->to_number<std::int64_t>() : 0;
    }

    std::string text(const json::object& object, const char* name)
    {
        const auto* found = object.if_contains(name);
        return found ? std::string(found->as_string()) : std::string();
    }

    json::object encodeStep(const StepSpec& step)
    {
        json::object out;
        put(out, "n", step.count);
        put(out, "cpu", step.resources.milliCores);
        put(out, "mem", step.resources.memoryMb);
        put(out, "acc", step.resources.accelerators);
        put(out, "est", step.estimate.count());
        if (!step.after.empty())
            out["after"] = json::value_from(step.after);
        put(out, "ckpt", step.checkpointing);
        put(out, "gang", step.gang);
        put(out, "onerack", step.sameRack);
        put(out, "spec", step.speculative);
        put(out, "long", step.longRunning);
        put(out, "fills", step.bestEffort);
        put(out, "label", step.label);
        put(out, "rack", step.rack);
        put(out, "maxper", step.maxPerWorker);
        put(out, "image", step.image);
        put(out, "tail", step.tailTarget.count());
        put(out, "maxaway", step.maxUnavailable);
        return out;
    }

    // Throws for a step that no host stores.
    StepSpec decodeStep(const json::object& in, std::size_t index)
    {
        StepSpec step;
        const auto count = number(in, "n");
        if (count < 1 || count > maxStoredTasks)
            throw std::out_of_range("n");
        step.count = static_cast<int>(count);
        step.resources = { number(in, "cpu"), number(in, "mem"), number(in, "acc") };
        step.estimate = Duration(number(in, "est"));
        if (const auto* after = in.if_contains("after"))
            step.after = json::value_to<std::vector<int>>(*after);
        for (const auto earlier : step.after) {
            if (earlier < 0 || static_cast<std::size_t>(earlier) >= index)
                throw std::out_of_range("after");
        }
        step.checkpointing = number(in, "ckpt") != 0;
        step.gang = number(in, "gang") != 0;
        step.sameRack = number(in, "onerack") != 0;
        step.speculative = number(in, "spec") != 0;
        step.longRunning = number(in, "long") != 0;
        step.bestEffort = number(in, "fills") != 0;
        step.label = text(in, "label");
        step.rack = text(in, "rack");
        step.maxPerWorker = static_cast<int>(number(in, "maxper"));
        step.image = text(in, "image");
        step.tailTarget = Duration(number(in, "tail"));
        step.maxUnavailable = static_cast<int>(number(in, "maxaway"));
        return step;
    }

    json::object encodeTerms(const Route& terms)
    {
        json::object out { { "service", terms.service.str() }, { "priority", terms.priority },
            { "attempts", terms.maxAttempts }, { "stretch", terms.stretch },
            { "objective", terms.objective.count() } };
        if (terms.advice)
            out["advice"] = { terms.advice->decision.count(), terms.advice->perWorker.count(),
                terms.advice->validity.count() };
        return out;
    }

    Route decodeTerms(const RouteId& id, const json::object& in)
    {
        Route terms;
        terms.id = id;
        terms.service = ServiceId(text(in, "service"));
        terms.priority = static_cast<int>(number(in, "priority"));
        terms.maxAttempts = static_cast<int>(number(in, "attempts"));
        terms.stretch = in.at("stretch").to_number<double>();
        terms.objective = Duration(number(in, "objective"));
        if (const auto* advice = in.if_contains("advice")) {
            const auto& row = advice->as_array();
            terms.advice = AdviceTerms { Duration(row.at(0).to_number<std::int64_t>()),
                Duration(row.at(1).to_number<std::int64_t>()),
                Duration(row.at(2).to_number<std::int64_t>()) };
        }
        return terms;
    }

    JobRecord readJob(const JobId& id, const json::object& in)
    {
        JobRecord record;
        record.id = id;
        record.route = RouteId(text(in, "route"));
        record.workspace = WorkspaceId(text(in, "workspace"));
        record.acceptedAt = { number(in, "accepted") };
        record.cancelled = number(in, "cancelled") != 0;
        record.spec.payload = text(in, "payload");
        record.spec.repeatCount = static_cast<int>(number(in, "repeat"));
        record.spec.firstRun = { number(in, "first") };
        record.spec.interval = Duration(number(in, "interval"));
        for (const auto& step : in.at("steps").as_array())
            record.spec.steps.push_back(decodeStep(step.as_object(), record.spec.steps.size()));
        record.terms = decodeTerms(record.route, in.at("terms").as_object());
        return record;
    }

    TaskProgress readTask(const json::array& row)
    {
        const auto at = [&](std::size_t i) { return row.at(i).to_number<std::int64_t>(); };
        TaskProgress task;
        task.occurrence = static_cast<int>(at(0));
        task.step = static_cast<int>(at(1));
        task.index = static_cast<int>(at(2));
        task.done = at(3) != 0;
        task.lastRun = { static_cast<std::uint64_t>(at(4)) };
        for (const auto& run : row.at(5).as_array())
            task.failedRuns.insert({ run.to_number<std::uint64_t>() });
        if (row.size() > 6)
            task.checkpoint = std::string(row.at(6).as_string());
        if (row.size() > 7) { // Earlier builds ignore it.
            const auto& crashes = row.at(7).as_array();
            task.crashes = { crashes.at(0).to_number<int>(), crashes.at(1).to_number<int>(),
                crashes.at(2).to_number<int>(), Duration(crashes.at(3).to_number<std::int64_t>()),
                { crashes.at(4).to_number<std::uint64_t>() } };
        }
        if (row.size() > 8) { // Earlier builds ignore it.
            const auto& start = row.at(8).as_array();
            task.start = { WorkerId(std::string(start.at(0).as_string())),
                start.at(1).to_number<std::int64_t>(), start.at(2).to_number<int>() != 0,
                start.size() > 3 && start.at(3).to_number<int>() != 0 };
        }
        return task;
    }

    template <typename T, typename F> std::optional<T> decodeWith(const std::string& value, F&& read)
    {
        try {
            return read(json::parse(value).as_object());
        } catch (const std::exception&) {
            return std::nullopt; // The caller logs the key and skips the record.
        }
    }

} // namespace

const char* nameOf(JobState state)
{
    return stateNames[static_cast<int>(state)];
}

std::optional<JobState> stateNamed(std::string_view name)
{
    for (std::size_t i = 0; i < std::size(stateNames); ++i) {
        if (name == stateNames[i])
            return static_cast<JobState>(i);
    }
    return std::nullopt;
}

bool isFinal(JobState state)
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

std::string encode(const JobRecord& record)
{
    json::object out { { "route", record.route.str() }, { "accepted", record.acceptedAt.milliseconds },
        { "payload", record.spec.payload }, { "terms", encodeTerms(record.terms) } };
    put(out, "workspace", record.workspace.str());
    put(out, "cancelled", record.cancelled);
    put(out, "repeat", record.spec.repeatCount);
    put(out, "first", record.spec.firstRun.milliseconds);
    put(out, "interval", record.spec.interval.count());
    json::array steps;
    for (const auto& step : record.spec.steps)
        steps.push_back(encodeStep(step));
    out["steps"] = std::move(steps);
    return json::serialize(out);
}

std::string encode(const ProgressRecord& record)
{
    json::object out { { "state", nameOf(record.state) } };
    put(out, "occurrences", record.occurrencesDone);
    json::array tasks;
    for (const auto& task : record.tasks) {
        json::array failed;
        for (const auto& run : task.failedRuns)
            failed.push_back(run.value);
        json::array row { task.occurrence, task.step, task.index, task.done ? 1 : 0, task.lastRun.value,
            std::move(failed) };
        const auto hasCrashes = task.crashes.crashes > 0 || task.start; // Entries are found by position.
        if (!task.checkpoint.empty() || hasCrashes)
            row.push_back(json::string(task.checkpoint));
        if (hasCrashes)
            row.push_back(json::array { task.crashes.crashes, task.crashes.confirmed, task.crashes.alone,
                task.crashes.longestRun.count(), task.crashes.lastRun.value });
        if (task.start)
            row.push_back(json::array { task.start->worker.str(), task.start->incarnation,
                task.start->answered ? 1 : 0, task.start->reported ? 1 : 0 });
        tasks.push_back(std::move(row));
    }
    if (!tasks.empty())
        out["tasks"] = std::move(tasks);
    json::array repeated;
    for (const auto& start : record.repeatedStarts)
        repeated.push_back(json::array { start.occurrence, start.step, start.index });
    if (!repeated.empty())
        out["repeatedStarts"] = std::move(repeated); // Earlier builds ignore it.
    return json::serialize(out);
}

std::string encode(const QueueSummary& summary)
{
    json::object pending;
    for (const auto& [route, count] : summary.pending)
        pending[route.str()] = count;
    return json::serialize(json::object { { "owner", summary.owner.value }, { "pending", pending } });
}

std::optional<JobRecord> decodeJob(const JobId& id, const std::string& value)
{
    return decodeWith<JobRecord>(value, [&](const json::object& in) { return readJob(id, in); });
}

std::optional<ProgressRecord> decodeProgress(const std::string& value)
{
    return decodeWith<ProgressRecord>(value, [](const json::object& in) {
        ProgressRecord record;
        const auto state = stateNamed(in.at("state").as_string());
        if (!state)
            throw std::invalid_argument("state");
        record.state = *state;
        record.occurrencesDone = static_cast<int>(number(in, "occurrences"));
        if (const auto* tasks = in.if_contains("tasks")) {
            for (const auto& row : tasks->as_array())
                record.tasks.push_back(readTask(row.as_array()));
        }
        if (const auto* repeated = in.if_contains("repeatedStarts")) {
            for (const auto& row : repeated->as_array())
                record.repeatedStarts.push_back(
                    { row.at(0).to_number<int>(), row.at(1).to_number<int>(), row.at(2).to_number<int>() });
        }
        return record;
    });
}

std::optional<QueueSummary> decodeSummary(const std::string& value)
{
    return decodeWith<QueueSummary>(value, [](const json::object& in) {
        QueueSummary summary;
        summary.owner = { static_cast<std::uint64_t>(number(in, "owner")) };
        for (const auto& [route, count] : in.at("pending").as_object())
            summary.pending.emplace_back(RouteId(std::string(route)), count.to_number<std::int64_t>());
        return summary;
    });
}

namespace keys {

    std::string job(const JobId& id)
    {
        return jobPrefix + id.str();
    }

    std::string progress(const JobId& id)
    {
        return progressPrefix + id.str();
    }

    JobId jobOf(const std::string& key)
    {
        return JobId(key.substr(key.find('/') + 1));
    }

} // namespace keys

} // namespace jujubereach::fleet
