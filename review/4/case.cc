// A worker crashes and starts again under its id as another kind: does it get work that requires the old
// kind?
#include "standins.h"

using namespace review;

namespace {

constexpr int rounds = 26;
constexpr std::int64_t downMs = 700;
constexpr std::int64_t workMs = 3500;

std::string idOf(int number)
{
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xd0d00000 + number);
    return id;
}

json::object job()
{
    return { { "Spec", json::serialize(json::object { { "workMs", workMs }, { "requires", "a" } }) },
        { "Steps",
            json::array { json::object { { "Count", 1 }, { "Cpu", 26000 }, { "MemMb", 53000 }, { "Gpu", 8 },
                { "EstimateMs", workMs }, { "Requires", "a" } } } } };
}

} // namespace

int main(int, char** arguments)
{
    record.open(arguments[1]);
    const std::string folder = arguments[2];
    Store store;
    Runs runs;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < 16; ++i)
        workers.push_back(std::make_unique<Worker>(
            store, runs, "w" + std::to_string(i), "z", i < 3 ? "a" : "b", "r" + std::to_string(i / 4)));
    for (const auto& worker : workers)
        worker->onStart = [&runs](
                              const std::string& kind, const std::string& task, const json::object& spec) {
            if (std::string(spec.at("requires").as_string()) == kind)
                return;
            const std::lock_guard lock(runs.mutex);
            runs.broken.push_back("ROUTE: " + task + " requires the label a and was started on kind " + kind);
        };
    store.put("op/config", configText(1));
    std::vector<std::unique_ptr<Host>> hosts;
    for (int i = 0; i < 3; ++i)
        hosts.push_back(
            std::make_unique<Host>(folder, "edge-" + std::to_string(i + 1), "z", store, Bounds {}));
    if (!awaitReady(hosts, 10'000))
        finish(hosts, 2, "the hosts did not become ready");
    sleepMs(3000);

    // More work of kind a than the three workers of kind a can do.
    int next = 0;
    const auto addWork = [&] {
        for (int i = 0; i < 2; ++i, ++next)
            submit(hosts[static_cast<std::size_t>(next % 3)]->port(), idOf(next), job());
    };
    std::string kind = "a";
    for (int i = 0; i < 3; ++i)
        addWork();
    sleepMs(1000);
    for (int round = 0; round < rounds; ++round) {
        addWork();
        if (!hasTrouble()) {
            sleepMs(downMs + (round % 2 == 0 ? 2800 : 1500));
            continue;
        }
        // Two of 16 workers, in every second round while they run work that requires kind a.
        kind = kind == "a" ? "b" : "a";
        for (const auto i : { 0, 1 })
            workers[static_cast<std::size_t>(i)]->crash();
        sleepMs(downMs);
        for (const auto i : { 0, 1 }) {
            workers[static_cast<std::size_t>(i)]->restart(kind);
            sleepMs(100);
        }
        sleepMs(kind == "a" ? 2600 : 1300);
    }
    for (const auto& host : hosts) {
        if (host->ended())
            finish(hosts, 1, "the process of an entry host ended by itself");
    }
    const std::lock_guard lock(runs.mutex);
    for (const auto& text : runs.broken)
        record.line("BROKEN " + text);
    if (runs.starts.empty())
        finish(hosts, 2, "nothing was started");
    if (!runs.broken.empty())
        finish(hosts, 1, std::to_string(runs.broken.size()) + " times, first: " + runs.broken[0]);
    finish(hosts, 0, "no rule was broken");
}
