#include "stream.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace jujubereach::bench {

namespace {

    constexpr Duration second { 1000 };
    constexpr Duration minute = 60 * second;
    constexpr Duration hour = 60 * minute;
    constexpr Duration day = 24 * hour;
    /// Largest factor by which run times are declared too long or too short, per workspace and kind.
    constexpr double largestMisdeclaration = 20;
    constexpr double outagesPerWorkerAndDay = 0.1;
    constexpr double badJobShare = 0.01;
    constexpr int kindsPerClass = 3;

    manifest::Workspace workspace(const std::string& id, double weight, std::vector<manifest::Shape> shapes)
    {
        return { WorkspaceId(id), weight, 0, std::move(shapes) };
    }

    manifest::Shape shape(const std::string& id, std::uint32_t accelerators)
    {
        return { ShapeId(id), ZoneId("z"), accelerators, 1 };
    }

    class StreamMaker {
    public:
        StreamMaker(const Deployment& deployment, std::uint64_t seed)
            : m_deployment(deployment)
            , m_random(seed)
            , m_accelerators(deployment.workers * acceleratorsPerWorker)
        {
        }

        Stream make()
        {
            m_stream.workers = m_deployment.workers;
            m_stream.end = TimePoint(m_deployment.length);
            makeManifest();
            for (const auto& mix : m_deployment.mixes)
                addMix(mix);
            for (const auto& each : m_deployment.workspaces) {
                for (const auto& shape : each.shapes)
                    addShapeCalls(each, shape);
            }
            std::stable_sort(m_stream.jobs.begin(), m_stream.jobs.end(),
                [](const StreamJob& a, const StreamJob& b) { return a.arrives < b.arrives; });
            addCancellations();
            addFaults();
            return std::move(m_stream);
        }

    private:
        void makeManifest()
        {
            auto& manifest = m_stream.manifest;
            manifest::Domain domain { DomainId("d"), {} };
            for (std::uint32_t done = 0; done < m_deployment.workers; done += 8)
                domain.racks.push_back({ RackId("r" + std::to_string(done / 8)),
                    std::min(8U, m_deployment.workers - done), acceleratorsPerWorker });
            manifest.zones = { { ZoneId("z"), RegionId("r"), { domain } } };
            manifest.classes = { { ClassId("checks"), 0, true, 0.05 }, { ClassId("proofs"), 1, false, 0.1 },
                { ClassId("renders"), 2, false, 0.1 } };
            manifest.workspaces = m_deployment.workspaces;
        }

        double between(double low, double high) { return low * std::pow(high / low, m_random.unit()); }

        Duration runTime(const Mix& mix)
        {
            return Duration(static_cast<Duration::rep>(between(
                static_cast<double>(mix.shortest.count()), static_cast<double>(mix.longest.count()))));
        }

        std::uint32_t sizeOf(const Mix& mix)
        {
            auto point = m_random.unit();
            for (const auto& size : mix.sizes) {
                if (point < size.share)
                    return size.accelerators;
                point -= size.share;
            }
            return mix.sizes.back().accelerators;
        }

        /// Mean accelerator-seconds of a job of the mix.
        static double areaOf(const Mix& mix)
        {
            double size = 0;
            for (const auto& each : mix.sizes)
                size += each.accelerators * each.share;
            auto low = static_cast<double>(mix.shortest.count()) / 1000;
            auto high = static_cast<double>(mix.longest.count()) / 1000;
            return size * (high - low) / std::log(high / low);
        }

        bool inBurst(TimePoint time) const
        {
            auto phase = time.time_since_epoch() % m_deployment.burstEvery;
            return phase >= m_deployment.burstEvery - m_deployment.burstLength;
        }

        /// Seconds until the next arrival of a process with the given mean rate, bursts included.
        double untilNext(double meanRate, TimePoint now)
        {
            auto share = static_cast<double>(m_deployment.burstLength.count())
                / static_cast<double>(m_deployment.burstEvery.count());
            auto calm = (1 - share * m_deployment.burstFactor) / (1 - share);
            auto rate = meanRate * (inBurst(now) ? m_deployment.burstFactor : calm);
            return m_random.exponential(1 / rate);
        }

        void addMix(const Mix& mix)
        {
            auto rate = m_deployment.load * m_accelerators * mix.loadShare / areaOf(mix);
            TimePoint now {};
            while (true) {
                now += Duration(static_cast<Duration::rep>(untilNext(rate, now) * 1000) + 1);
                if (now >= m_stream.end)
                    return;
                addJob(mix, now);
            }
        }

        void addJob(const Mix& mix, TimePoint now)
        {
            StreamJob job;
            auto& spec = job.spec;
            spec.id = JobId(mix.workClass + std::to_string(++m_jobs));
            spec.workspace = pickWorkspace();
            spec.workClass = ClassId(mix.workClass);
            spec.kind = mix.workClass + std::to_string(m_random.below(kindsPerClass));
            spec.accelerators = sizeOf(mix);
            spec.checkpointable = m_random.unit() < mix.checkpointable;
            spec.checkpointTime = Duration(200 + static_cast<Duration::rep>(m_random.below(2200)));
            spec.restartable = m_random.unit() < mix.restartable;
            job.arrives = now;
            job.runTime = runTime(mix);
            job.failsAlways = m_random.unit() < badJobShare;
            auto factor = misdeclaration(spec.workspace, spec.kind) * between(0.7, 1.4);
            spec.declaredRunTime
                = Duration(static_cast<Duration::rep>(static_cast<double>(job.runTime.count()) * factor));
            m_stream.jobs.push_back(job);
        }

        WorkspaceId pickWorkspace()
        {
            auto point = m_random.unit();
            for (std::size_t i = 0; i < m_deployment.workspaces.size(); ++i) {
                if (point < m_deployment.workspaceShares[i])
                    return m_deployment.workspaces[i].id;
                point -= m_deployment.workspaceShares[i];
            }
            return m_deployment.workspaces.front().id;
        }

        double misdeclaration(const WorkspaceId& id, const std::string& kind)
        {
            auto [found, added] = m_factors.try_emplace(id.str() + "/" + kind, 1.0);
            if (added)
                found->second = between(1 / largestMisdeclaration, largestMisdeclaration);
            return found->second;
        }

        void addShapeCalls(const manifest::Workspace& owner, const manifest::Shape& shape)
        {
            constexpr double meanRunTime = 30 * 60;
            TimePoint now {};
            while (true) {
                auto pause
                    = m_random.exponential(meanRunTime * (1 - m_deployment.shapeUse) / m_deployment.shapeUse);
                now += Duration(static_cast<Duration::rep>(pause * 1000) + 1);
                if (now >= m_stream.end)
                    return;
                StreamJob job;
                job.spec.id = JobId("shape" + std::to_string(++m_jobs));
                job.spec.workspace = owner.id;
                job.spec.workClass = ClassId("proofs");
                job.spec.kind = "shape";
                job.spec.accelerators = shape.accelerators;
                job.spec.shape = shape.id;
                job.spec.restartable = true;
                job.runTime = Duration(static_cast<Duration::rep>(between(0.5, 2) * meanRunTime * 1000));
                job.spec.declaredRunTime = job.runTime;
                job.arrives = now;
                m_stream.jobs.push_back(job);
                now += job.runTime + minute;
            }
        }

        /// Every 12 hours, half of the jobs of the last hour are cancelled within a second.
        void addCancellations()
        {
            for (auto wave = TimePoint(11 * hour); wave < m_stream.end; wave += 12 * hour) {
                for (auto& job : m_stream.jobs) {
                    bool recent = job.arrives < wave && job.arrives + hour >= wave && !job.spec.shape;
                    if (recent && m_random.below(2) == 0)
                        job.cancelledAt = wave + Duration(static_cast<Duration::rep>(m_random.below(1000)));
                }
            }
        }

        void addFaults()
        {
            auto days = static_cast<double>(m_deployment.length.count()) / static_cast<double>(day.count());
            auto outages = static_cast<int>(outagesPerWorkerAndDay * m_deployment.workers * days);
            auto length = static_cast<std::uint64_t>(m_deployment.length.count());
            for (int i = 0; i < outages; ++i) {
                TimePoint from(Duration(static_cast<Duration::rep>(m_random.below(length))));
                auto worker = static_cast<std::uint32_t>(m_random.below(m_deployment.workers));
                m_stream.outages.push_back({ worker, from, from + 5 * minute });
            }
            for (std::uint32_t i = 0; i < std::max(1U, m_deployment.workers / 25); ++i) {
                TimePoint from(Duration(static_cast<Duration::rep>(m_random.below(length))));
                auto worker = static_cast<std::uint32_t>(m_random.below(m_deployment.workers));
                m_stream.badWorkers.push_back({ worker, from, from + 6 * hour });
            }
        }

        const Deployment& m_deployment;
        Random m_random;
        std::uint32_t m_accelerators;
        Stream m_stream;
        std::uint64_t m_jobs = 0;
        std::map<std::string, double> m_factors;
    };

} // namespace

Deployment peachtree()
{
    Deployment d;
    d.name = "peachtree";
    d.workspaces = { workspace("stationers", 1, { shape("foil", 64) }),
        workspace("weddings", 1, { shape("tissue", 32) }),
        workspace("banks", 1, { shape("registration", 16) }), workspace("walk-in", 1, {}) };
    d.workspaceShares = { 0.4, 0.3, 0.2, 0.1 };
    d.mixes = {
        { "checks", 0.05, { { 1, 0.6 }, { 2, 0.2 }, { 4, 0.2 } }, 20 * second, 4 * minute, 0, 1 },
        { "proofs", 0.2, { { 1, 0.3 }, { 2, 0.2 }, { 4, 0.2 }, { 8, 0.2 }, { 16, 0.1 } }, 2 * minute,
            30 * minute, 0.5, 0.6 },
        { "renders", 0.65,
            { { 1, 0.2 }, { 2, 0.1 }, { 4, 0.15 }, { 8, 0.25 }, { 16, 0.15 }, { 32, 0.09 }, { 64, 0.06 } },
            10 * minute, 6 * hour, 0.8, 0.6 },
    };
    d.length = 2 * day;
    return d;
}

Deployment armor()
{
    auto d = peachtree();
    d.name = "armor";
    d.workspaces = { workspace("agencies", 3, { shape("certificates", 32) }),
        workspace("installers", 2, { shape("readings", 32) }), workspace("rentals", 1, {}),
        workspace("landlords", 1, { shape("deadline", 8) }) };
    d.workspaceShares = { 0.65, 0.2, 0.1, 0.05 };
    d.burstFactor = 6;
    d.burstEvery = 6 * hour;
    return d;
}

Deployment target(std::uint32_t workers)
{
    auto d = peachtree();
    d.name = "target" + std::to_string(workers);
    d.workers = workers;
    d.mixes.back().sizes = { { 1, 0.1 }, { 2, 0.1 }, { 4, 0.15 }, { 8, 0.25 }, { 16, 0.15 }, { 32, 0.1 },
        { 64, 0.1 }, { 128, 0.05 } };
    d.mixes.back().shortest = 1 * hour;
    d.mixes.back().longest = 12 * hour;
    d.mixes[0].loadShare = 0.0003;
    d.mixes[1].loadShare = 0.005;
    d.mixes[2].loadShare = 0.99;
    d.length = 2 * day;
    return d;
}

Stream makeStream(const Deployment& deployment, std::uint64_t seed)
{
    return StreamMaker(deployment, seed).make();
}

} // namespace jujubereach::bench
