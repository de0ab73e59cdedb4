// Several workers of one zone as HTTP services.
#include "worker-service.h"

namespace jujubereach::standins {

namespace {

    constexpr Duration tickInterval { 10 };
    constexpr int workerThreads = 64;

    Answer badRequest()
    {
        Answer answer;
        answer.status = 400;
        return answer;
    }

} // namespace

WorkerService::WorkerService(const WorkerOptions& options)
    : m_zone(options.zone)
{
    for (std::size_t i = 0; i < options.ids.size(); ++i)
        addWorker(options, i);
    m_control
        = std::make_unique<HttpService>(options.controlPort, [this](const Call& c) { return control(c); });
    m_heartbeat
        = std::make_unique<Heartbeat>(options.platform, options.ids.front(), [this] { return machines(); });
    m_ticker = std::thread([this] { advanceAll(); });
}

WorkerService::~WorkerService()
{
    m_stopped = true;
    m_ticker.join();
    m_heartbeat.reset();
    for (auto& worker : m_workers) {
        worker->faults.stop();
        worker->service->close();
    }
    m_control->close();
}

void WorkerService::addWorker(const WorkerOptions& options, std::size_t index)
{
    auto worker = std::make_unique<Worker>();
    worker->id = options.ids[index];
    worker->machine = std::make_unique<WorkerMachine>(WorkerId(worker->id), options.accelerators,
        [this](const JsonObject::Ptr& event, TimePoint at) { m_recorder.addAt(event, at); });
    const auto port = options.port == 0 ? 0 : options.port + index;
    auto* raw = worker.get();
    worker->service = std::make_unique<HttpService>(
        static_cast<std::uint16_t>(port),
        [this, raw](
            const Call& call) { return raw->faults.apply(call, true, [&] { return sync(*raw, call); }); },
        workerThreads);
    worker->address = worker->service->address();
    m_workers.push_back(std::move(worker));
}

Answer WorkerService::sync(Worker& worker, const Call& call)
{
    auto object = platform::parseObject(call.body);
    auto request = object ? platform::workerSyncFromJson(**object) : std::nullopt;
    if (!request || call.path != "/v1/sync")
        return badRequest();
    const std::scoped_lock lock(worker.mutex);
    Answer answer;
    answer.body = platform::toText(*platform::toJson(worker.machine->sync(*request, steadyClock()())));
    return answer;
}

Answer WorkerService::control(const Call& call)
{
    Answer answer;
    if (call.path == "/record") {
        answer.body = m_recorder.toText(call.number("after"));
        return answer;
    }
    auto switches = platform::parseObject(call.body);
    if (!switches)
        return badRequest();
    const auto id = (*switches)->optValue<std::string>("worker", {});
    for (auto& worker : m_workers) {
        if (id.empty() || id == worker->id)
            set(*worker, **switches);
    }
    return answer;
}

void WorkerService::set(Worker& worker, const JsonObject& switches)
{
    worker.faults.set(switches);
    if (switches.has("failStarts")) {
        const std::scoped_lock lock(worker.mutex);
        worker.machine->setFailStarts(switches.getValue<bool>("failStarts"));
    }
    if (switches.optValue("die", false) && !worker.isDead.exchange(true)) {
        worker.faults.stop();
        worker.service->close();
        auto event = newEvent("die");
        event->set("worker", worker.id);
        const std::scoped_lock lock(worker.mutex);
        worker.machine->die(steadyClock()());
        m_recorder.add(event);
    }
}

void WorkerService::advanceAll()
{
    while (!m_stopped) {
        for (auto& worker : m_workers) {
            const std::scoped_lock lock(worker->mutex);
            worker->machine->advance(steadyClock()());
        }
        std::this_thread::sleep_for(tickInterval);
    }
}

std::vector<platform::Machine> WorkerService::machines() const
{
    std::vector<platform::Machine> machines;
    for (const auto& worker : m_workers) {
        if (!worker->isDead) {
            machines.push_back({ worker->id, platform::MachineKind::Worker, platform::MachineState::Live,
                ZoneId(m_zone), worker->address, {}, 0 });
        }
    }
    return machines;
}

} // namespace jujubereach::standins
