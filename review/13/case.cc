// A start that a minion leaves unanswered is sent again and done. Then the minion is cut off, restarts behind
// the cut and carries out the first order late.
#include "../deployment/deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int otherUnits = 60; // Their starts are answered: one late order in 61.
constexpr std::int64_t lateMs = 8500;
constexpr std::int64_t cutAtMs = 4000; // From the first start of the work unit on.
constexpr std::int64_t crashAtMs = 4500;
constexpr std::int64_t downMs = 1000;
constexpr std::int64_t cutMs = 5500;

std::string job(int count, int workMs, const char* more)
{
    return std::string("{\"Spec\":\"") + more + "cpu=7500 mem=11000 gpu=1 work=" + std::to_string(workMs)
        + "\",\"Steps\":[{\"Count\":" + std::to_string(count)
        + ",\"Cpu\":7500,\"MemMb\":11000,\"Gpu\":1,\"EstimateMs\":" + std::to_string(workMs) + "}]}";
}

int play()
{
    Deployment all({});
    if (!all.start())
        return 2;
    auto& record = all.record();
    sleepMs(3000);
    if (!all.submit("/proof/" + Deployment::newId(), job(otherUnits, 4000, "quiet=1 ")))
        return 2;
    const auto id = Deployment::newId();
    const auto task = id + ".0.0.0";
    const auto path = "/urgent/" + id;
    all.onLoop([&] {
        if (!withTrouble())
            return;
        all.history().lateTask = task;
        all.history().lateMs = lateMs;
    });
    if (!all.submit(path, job(1, 1500, "")))
        return 2;
    const auto begin = nowMs();
    record.line("POST " + path + ": 200");
    const auto waitUntil = [&](std::int64_t ms) { sleepMs(std::max<std::int64_t>(0, begin + ms - nowMs())); };
    waitUntil(cutAtMs);
    all.state(path);
    const auto withMinion = [&](const std::function<void(Minion&)>& act) {
        all.onLoop([&] {
            for (const auto& minion : all.minions()) {
                if (minion->id() == all.history().lateMinion)
                    act(*minion);
            }
        });
    };
    const auto doneAt = all.onLoop([&] { return all.history().last(task, "done"); });
    const auto notedAt = all.onLoop([&] {
        for (const auto& end : all.history().ends) {
            if (end.task == task)
                return end.notedAt;
        }
        return std::int64_t { -1 };
    });
    record.line(task + " ended done at " + std::to_string(doneAt) + " ms, taken note of at "
        + std::to_string(notedAt) + " ms");
    if (doneAt < 0 || notedAt < 0)
        return 2;
    withMinion([](Minion& minion) { minion.setCut(true); });
    waitUntil(crashAtMs);
    withMinion([](Minion& minion) { minion.crash(downMs); });
    waitUntil(cutAtMs + cutMs);
    withMinion([](Minion& minion) { minion.setCut(false); });
    sleepMs(8000);
    all.state(path);
    const auto again = all.onLoop([&] { return all.history().last(task, "start") > doneAt; });
    record.line(again ? "TWICE: started after its end as done was taken note of" : "the rule held");
    return again ? 1 : 0;
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
