// A tenant calls for its guaranteed accelerators while lasting work of another tenant, of lower priority,
// uses the whole service.
#include "../deployment/deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int guaranteedGpu = 120;
constexpr int units = 3; // Of 8 accelerators each: 24 of the 120.
constexpr std::int64_t reclaimMs = 2700;
constexpr std::int64_t calmMs = 12'000; // Before the call; ContactMs is 4,000.
constexpr int fillingJobs = 16; // Of 6 work units with 4 accelerators each: 384, the whole service.

int play()
{
    Options options;
    options.tenants = { { "tenant-1", "d4a3hwrr6x73d3zji9n7", guaranteedGpu },
        { "tenant-2", "3hh2b9wu3fexd9dnn2ct", 0 } };
    Deployment all(options);
    if (!all.start())
        return 2;
    auto& record = all.record();
    // Without the disruption the same work comes as ordinary units, each as long as the case.
    const std::string kind = withTrouble() ? ",\"LongRunning\":true" : "";
    const std::string work = withTrouble() ? "" : " work=60000";
    for (int i = 0; i < fillingJobs; ++i) {
        const auto path = "/proof/" + Deployment::newId();
        if (!all.submit(path,
                "{\"Spec\":\"quiet=1 cpu=26000 mem=53000 gpu=4" + work
                    + "\",\"Steps\":[{\"Count\":6,\"Cpu\":26000,\"MemMb\":53000,\"Gpu\":4,\"EstimateMs\":"
                      "60000"
                    + kind + "}]}",
                1))
            return 2;
        record.line("POST " + path + " of tenant-2: 200");
    }
    sleepMs(calmMs);
    const auto used = all.onLoop([&] {
        std::int64_t sum = 0;
        for (const auto& minion : all.minions())
            sum += minion->used().gpu;
        return sum;
    });
    record.line("tenant-2, priority 2, uses " + std::to_string(used) + " of 384 accelerators");
    const auto id = Deployment::newId();
    const auto path = "/urgent/" + id;
    if (!all.submit(path,
            "{\"Spec\":\"work=2500 cpu=7500 mem=11000 gpu=8\",\"Steps\":[{\"Count\":" + std::to_string(units)
                + ",\"Cpu\":7500,\"MemMb\":11000,\"Gpu\":8,\"EstimateMs\":2500}]}"))
        return 2;
    const auto ackAt = nowMs();
    record.line("POST " + path + " of tenant-1, priority 0, 24 of its 120 guaranteed accelerators: 200");
    const auto begun = [&] {
        return all.onLoop([&] {
            int count = 0;
            for (int i = 0; i < units; ++i)
                count += all.history().count(id + ".0.0." + std::to_string(i), "start") > 0;
            return count;
        });
    };
    std::int64_t took = -1;
    while (nowMs() < ackAt + 30'000 && took < 0) {
        sleepMs(20);
        if (begun() == units)
            took = nowMs() - ackAt;
    }
    all.state(path);
    record.line(took < 0 ? "30 s after the ack " + std::to_string(begun()) + " of its work units have begun"
                         : "all its work units had begun " + std::to_string(took) + " ms after the ack");
    const auto broken = took < 0 || took > reclaimMs;
    record.line(broken ? "RECLAIM: not begun within 2,700 ms" : "the rule held");
    return broken ? 1 : 0;
}

} // namespace

int main()
{
    try {
        return play();
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
