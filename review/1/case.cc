// Jobs completed long ago, then the store discards its history: do completed work units start again?
#include "standins.h"

using namespace review;

namespace {

constexpr int jobs = 4;
constexpr int unitsPerJob = 3;
constexpr std::int64_t watchAfterMs = 15'000;

std::string idOf(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xa11ce000 + number);
    return id;
}

json::object job(std::int64_t workMs)
{
    return { { "Spec", json::serialize(json::object { { "workMs", workMs } }) },
        { "Steps",
            json::array { json::object { { "Count", unitsPerJob }, { "Cpu", 4000 }, { "MemMb", 1000 },
                { "Gpu", 1 }, { "EstimateMs", workMs } } } } };
}

} // namespace

int main(int, char** arguments)
{
    record.open(arguments[1]);
    const std::string folder = arguments[2];
    Bounds bounds;
    bounds.statusS = std::getenv("STATUS_S") ? std::atof(std::getenv("STATUS_S")) : 60;
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 8; ++i)
        workers.push_back(
            std::make_unique<Worker>(store, runs, "w" + std::to_string(i), "z", "a", i < 4 ? "r1" : "r2"));
    store.put("op/config", configText(1));
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < 3; ++i)
        hosts.push_back(std::make_unique<Host>(folder, "edge-" + std::to_string(i + 1), "z", store, bounds));
    if (!awaitReady(hosts, 10'000))
        finish(hosts, 2, "the hosts did not become ready");
    sleepMs(3000); // An owner is chosen and reaches the workers.

    for (int i = 0; i < jobs; ++i) {
        if (submit(hosts[static_cast<std::size_t>(i % 3)]->port(), idOf(i), job(1000)).status != 200)
            finish(hosts, 2, "a job was not accepted");
    }
    for (int i = 0; i < jobs; ++i) {
        if (awaitState(hosts[0]->port(), idOf(i), "completed", 15'000) != "completed")
            finish(hosts, 2, "a job did not complete before the disruption");
    }
    const auto completedAt = nowMs();
    record.line("all jobs are completed");

    // Other work goes on. The last job that ends before the disruption is younger than `status_s`.
    const auto waitMs = static_cast<std::int64_t>(bounds.statusS * 1250) + 4000;
    int next = jobs;
    while (nowMs() - completedAt < waitMs) {
        submit(hosts[static_cast<std::size_t>(next % 3)]->port(), idOf(next), job(500));
        ++next;
        sleepMs(4000);
    }
    for (int i = 0; i < jobs; ++i) {
        if (stateOf(hosts[0]->port(), idOf(i)) != "completed")
            finish(hosts, 2, "a job was not shown as completed before the disruption");
    }
    if (hasTrouble()) {
        record.line("DISRUPTION: the store discards its history");
        store.discardHistory();
    }
    const auto until = nowMs() + watchAfterMs;
    while (nowMs() < until) {
        sleepMs(1000);
        stateOf(hosts[1]->port(), idOf(0));
    }
    for (const auto& host : hosts) {
        if (host->ended())
            finish(hosts, 1, "the process of an entry host ended by itself");
    }
    const std::lock_guard lock(runs.mutex);
    for (const auto& text : runs.broken)
        record.line("BROKEN " + text);
    if (!runs.broken.empty())
        finish(hosts, 1, std::to_string(runs.broken.size()) + " times, first: " + runs.broken[0]);
    finish(hosts, 0, "no rule was broken");
}
