#include "subjects.h"

#include "firstcome.h"

namespace jujubereach::bench {

using namespace scheduling;

Subject jujubereach(const std::string& name, const Stream& stream, const Policy& policy)
{
    auto scheduler = std::make_shared<Scheduler>(stream.manifest, ZoneId("z"), DomainId("d"), policy);
    Subject subject;
    subject.name = name;
    subject.keepsShapes = true;
    subject.submit = [scheduler](const JobSpec& spec, TimePoint now) { return scheduler->submit(spec, now); };
    subject.cancel = [scheduler](const JobId& id, TimePoint now) { scheduler->cancel(id, now); };
    subject.setWorker = [scheduler](std::uint32_t worker, bool up, TimePoint now) {
        up ? scheduler->workerUp(worker, now) : scheduler->workerDown(worker, now);
    };
    subject.gangRunning = [scheduler](const GangId& id, TimePoint now) { scheduler->gangRunning(id, now); };
    subject.gangEnded = [scheduler](const GangEnd& end, TimePoint now) { scheduler->gangEnded(end, now); };
    subject.decide = [scheduler](TimePoint now) { return scheduler->decide(now); };
    subject.nextDue = [scheduler](TimePoint now) { return scheduler->nextDue(now); };
    subject.stepCount = [scheduler] { return scheduler->stepCount(); };
    return subject;
}

Subject firstCome(const std::string& name, const Stream& stream, bool backfill)
{
    auto baseline = std::make_shared<FirstCome>(stream.workers, backfill);
    Subject subject;
    subject.name = name;
    subject.submit = [baseline](const JobSpec& spec, TimePoint) {
        baseline->submit(spec);
        return std::optional<EndJob>();
    };
    subject.cancel = [baseline](const JobId& id, TimePoint) { baseline->cancel(id); };
    subject.setWorker
        = [baseline](std::uint32_t worker, bool up, TimePoint) { baseline->setWorker(worker, up); };
    subject.gangRunning = [](const GangId&, TimePoint) {};
    subject.gangEnded = [baseline](const GangEnd& end, TimePoint) { baseline->gangEnded(end); };
    subject.decide = [baseline](TimePoint) { return baseline->decide(); };
    subject.nextDue = [](TimePoint) { return std::optional<TimePoint>(); };
    subject.stepCount = [] { return std::uint64_t(0); };
    return subject;
}

} // namespace jujubereach::bench
