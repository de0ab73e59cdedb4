#include "windows.h"

#include <algorithm>

namespace jujubereach::scheduling {

namespace {

    class Scan {
    public:
        Scan(const State& state, const WindowSearch& search)
            : m_state(state)
            , m_search(search)
        {
        }

        std::optional<Window> best(std::uint32_t step)
        {
            std::optional<Window> best;
            auto first = (m_search.within.first + step - 1) / step * step;
            while (first + m_search.count <= m_search.within.end()) {
                Window window { { first, m_search.count }, 0 };
                if (auto obstacle = measure(window)) {
                    first = (*obstacle / step + 1) * step;
                    continue;
                }
                if (!best || window.cost < best->cost)
                    best = window;
                if (best->cost == 0)
                    return best;
                first += step;
            }
            return best;
        }

    private:
        /// Sets the cost of the window, or returns the last accelerator of an obstacle in it.
        std::optional<std::uint32_t> measure(Window& window)
        {
            for (auto at = window.run.first; at < window.run.end();) {
                ++m_state.stepCount;
                if (blocked(at))
                    return at;
                const auto* gang = m_state.occupancy.gangAt(at);
                if (!gang) {
                    ++at;
                    continue;
                }
                auto cost = m_search.gangCost(*gang);
                if (!cost)
                    return gang->run.end() - 1;
                window.cost = m_search.sumCosts ? window.cost + *cost : std::max(window.cost, *cost);
                at = nextAfter(*gang, at);
            }
            return std::nullopt;
        }

        /// Next accelerator to examine: the first blocked one in the gang's run (a worker there may be down),
        /// otherwise the end of the run.
        std::uint32_t nextAfter(const Gang& gang, std::uint32_t at) const
        {
            auto end = gang.run.end();
            for (auto next = at + 1; next < end; ++next) {
                if (blocked(next))
                    return next;
            }
            return end;
        }

        bool blocked(std::uint32_t at) const
        {
            const auto& occupancy = m_state.occupancy;
            if (!occupancy.usable(at) || occupancy.held(at))
                return true;
            if (!m_search.mayUseProtected && occupancy.isProtected(at))
                return true;
            return std::find(
                       m_search.avoidWorkers.begin(), m_search.avoidWorkers.end(), occupancy.workerOf(at))
                != m_search.avoidWorkers.end();
        }

        const State& m_state;
        const WindowSearch& m_search;
    };

    double seconds(Duration duration)
    {
        return static_cast<double>(duration.count()) / 1000;
    }

} // namespace

std::optional<Window> cheapestWindow(const State& state, const WindowSearch& search)
{
    Scan scan(state, search);
    auto step = placement::alignmentOf(search.count, state.occupancy.perWorker());
    auto found = scan.best(step);
    if (!found && step > 1)
        found = scan.best(1);
    return found;
}

double preemptionLoss(const State& state, const Gang& gang, TimePoint now)
{
    if (gang.state == GangState::Stopping)
        return 0;
    auto lost = state.policy.restartCost;
    if (checkpointsInTime(gang.job->spec, state.limits))
        lost += gang.job->spec.checkpointTime;
    else if (gang.runningSince)
        lost += now - *gang.runningSince;
    return seconds(lost) * gang.run.count;
}

} // namespace jujubereach::scheduling
