// The owner of the fleet loses its way to the store; what the store sends still reaches it. Another host
// takes over and a job is accepted then, while one worker carries out the first order of the new owner late.
#include "stage.h"

namespace review {

namespace {

    constexpr int cutMs = 5500;
    constexpr int lateOrders = 1; ///< Of those that the new owner sends to all workers.
    constexpr int lateMs = 4000;
    constexpr int bigWorkers = 19;
    constexpr int workMs = 6000;
    constexpr int tries = 5;
    // After the takeover. A job that the new owner reads with all others waits for the worker and is not at
    // issue.
    constexpr int submitAfterMs = 100;
    // Of the owner's watch of its own key, at the begin of the cut.
    constexpr int minWatchAgeMs = 950;
    constexpr int maxWatchAgeMs = 1250;

    int play(Stage& stage, bool trouble)
    {
        stage.addTenant("foil", "foil-key", 8);
        stage.addRoute("proofs", "pool", 1, 4);
        auto& small = stage.addWorker("pool", "r1-1", 8000, 32'768, 1);
        for (int i = 0; i < bigWorkers; ++i)
            stage.addWorker("pool", "r1-" + std::to_string(1 + i / 8), 64'000, 262'144, 8);
        if (!stage.begin(3))
            return couldNotRun;

        Job first;
        first.id = "1a7f3c5e9b2d4860";
        first.route = "proofs";
        first.key = "foil-key";
        first.gpu = 2;
        first.plan = [](int, int) { return RunPlan { 500, "done" }; };
        if (!stage.submit(first) || !stage.until([&] { return stage.stateOf(first) == "completed"; }, 10'000))
            return couldNotRun;
        stage.run(3000);

        const auto old = stage.owner();
        if (old < 0)
            return couldNotRun;
        auto& gate = stage.gate(old);
        const auto other = static_cast<std::size_t>((old + 1) % 3);
        const auto inTime = [&] {
            const auto age = gate.watchAge("o");
            return age >= minWatchAgeMs && age <= maxWatchAgeMs;
        };
        while (!inTime())
            stage.run(5);
        // The caller cancels its first job, which is done. The owner hears of it and watches the jobs anew.
        stage.call(other, "DELETE", first, {});
        if (trouble) {
            stage.note("the way from host " + std::to_string(old) + ", the owner, to the store is cut");
            gate.setCut(true);
            small.answerLate(small.fence(), lateOrders, lateMs);
        }
        const auto cutAt = stage.now();
        const auto tookOver = [&] { return stage.owner() >= 0 && stage.owner() != old; };
        if (trouble) {
            while (!tookOver() && stage.now() < cutAt + 3000)
                stage.run(2);
            if (!tookOver())
                return couldNotRun;
            stage.note("host " + std::to_string(stage.owner()) + " has taken over, "
                + std::to_string(stage.now() - cutAt) + " ms after the cut");
            stage.run(submitAfterMs);
        }
        Job job;
        job.id = "5c0e7a21d94b36f8";
        job.route = "proofs";
        job.key = "foil-key";
        job.cpu = 8000;
        job.gpu = 1;
        job.estimateMs = workMs;
        job.plan = [](int, int) { return RunPlan { workMs, "done" }; };
        auto atOnce = 0;
        const auto look = [&] {
            atOnce = std::max(atOnce, job.running[0]);
            return false;
        };
        auto accepted = false;
        for (int i = 0; i < tries && !accepted; ++i)
            accepted = stage.submitAt(other, job);
        if (!accepted)
            return couldNotRun;
        while (stage.now() < cutAt + cutMs) {
            stage.run(5);
            look();
        }
        gate.setCut(false);
        if (trouble)
            stage.note("the cut is over");
        stage.until(look, 2 * workMs);
        stage.note("runs at the same time: " + std::to_string(atOnce)
            + "; starts: " + std::to_string(job.startsSeen) + "; the job is shown as " + stage.stateOf(job));
        if (stage.anyHostEnded())
            return couldNotRun;
        if (atOnce < 2)
            return held;
        stage.note("TWICE: two runs of one work unit at the same time, on workers that are up");
        return broken;
    }

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    return review::runCase(argc, argv, review::play);
}
