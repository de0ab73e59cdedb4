// A gang on a queue with advice arrives while most workers are busy for some seconds.
#include "stage.h"

namespace review {

namespace {

    constexpr int workers = 12;
    constexpr int gpusPerWorker = 8;
    constexpr int busyWorkers = 10;
    constexpr int busyMs = 8000;
    constexpr int gangSize = 4;
    constexpr int finishMs = 14'000; ///< After the end of the traffic.
    constexpr int windowMs = 3000;

    int play(Stage& stage, bool trouble)
    {
        stage.addTenant("foil", "foil-key", 8);
        stage.addTenant("bank", "bank-key", 8);
        stage.addRoute("plain", "pool", 1, 4);
        stage.addRoute("advised", "pool", 1, 4, true);
        for (int i = 0; i < workers; ++i)
            stage.addWorker("pool", "r1-" + std::to_string(1 + i / 4), 64'000, 262'144, gpusPerWorker);
        if (!stage.begin(3))
            return couldNotRun;

        Job burst;
        burst.id = "1a7f3c5e9b2d4860";
        burst.route = "plain";
        burst.key = "bank-key";
        burst.count = busyWorkers;
        burst.gpu = gpusPerWorker;
        burst.estimateMs = busyMs;
        burst.plan = [](int, int) { return RunPlan { busyMs, "done" }; };
        if (trouble) {
            if (!stage.submit(burst)
                || !stage.until(
                    [&] { return static_cast<int>(burst.startsOf.size()) == busyWorkers; }, 10'000))
                return couldNotRun;
        }

        Job gang;
        gang.id = "5c0e7a21d94b36f8";
        gang.route = "advised";
        gang.key = "foil-key";
        gang.count = gangSize;
        gang.gpu = gpusPerWorker;
        gang.gang = true;
        gang.estimateMs = 3000;
        gang.plan = [](int, int) { return RunPlan { 3000, "done" }; };
        if (!stage.submit(gang))
            return couldNotRun;
        const auto begun = [&] { return gang.startsSeen > 0; };
        stage.until([&] { return begun() || (trouble && burst.running[0] == 0); }, busyMs + 4000);
        stage.note("the traffic has ended");
        stage.until(begun, finishMs);
        const auto checkedFrom = stage.now();
        auto idle = stage.shareInUse("pool") < 0.5;
        while (!begun() && stage.now() < checkedFrom + windowMs) {
            stage.run(100);
            idle = idle && stage.shareInUse("pool") < 0.5;
        }
        stage.run(begun() ? 5000 : 20'000); // Does it start later?
        const auto state = stage.stateOf(gang);
        stage.note("share of the service in use: " + std::to_string(stage.shareInUse("pool"))
            + "; starts: " + std::to_string(gang.startsSeen) + "; the gang is shown as " + state);
        if (stage.anyHostEnded())
            return couldNotRun;
        if (begun())
            return held;
        if (!idle)
            return couldNotRun;
        stage.note("LOST: a gang has nothing running though most of its service is idle");
        return broken;
    }

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    return review::runCase(argc, argv, review::play);
}
