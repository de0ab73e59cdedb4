// One upstream as an HTTP service.
#include "upstream-service.h"

#include <thread>

namespace jujubereach::standins {

UpstreamService::UpstreamService(const UpstreamOptions& options)
    : m_options(options)
{
    m_switches.serviceTime = options.serviceTime;
    m_control
        = std::make_unique<HttpService>(options.controlPort, [this](const Call& c) { return control(c); });
    m_service = std::make_unique<HttpService>(options.port,
        [this](const Call& call) { return m_faults.apply(call, true, [&] { return work(call); }); });
    m_address = m_service->address();
    m_heartbeat = std::make_unique<Heartbeat>(options.platform, options.id, [this] { return machines(); });
}

UpstreamService::~UpstreamService()
{
    m_heartbeat.reset();
    m_faults.stop();
    m_service->close();
    m_control->close();
}

Answer UpstreamService::work(const Call& call)
{
    const auto now = switches();
    const auto reason = takeSlot();
    Answer answer;
    if (reason.empty()) {
        answer = run(call, now);
    } else {
        record("refuse", call, reason);
        answer.status = 503;
        answer.headers.emplace_back("X-Not-Run", reason);
    }
    answer.headers.emplace_back("X-Request-Id", call.header("x-request-id"));
    return reason.empty() ? swapped(std::move(answer), now) : answer;
}

Answer UpstreamService::swapped(Answer own, const Switches& switches)
{
    if (!switches.swapsAnswers)
        return own;
    const std::scoped_lock lock(m_mutex);
    if (m_lastAnswer)
        std::swap(*m_lastAnswer, own);
    else
        m_lastAnswer = own;
    return own;
}

std::string UpstreamService::takeSlot()
{
    const std::scoped_lock lock(m_mutex);
    if (m_switches.isLeaving && !m_switches.isQuiet)
        return "leaving";
    if (m_switches.isBusy || m_running >= m_options.slots)
        return "busy";
    ++m_running;
    return {};
}

Answer UpstreamService::run(const Call& call, const Switches& switches)
{
    record("start", call, {});
    auto serviceTime = switches.serviceTime;
    if (switches.spread > Duration::zero()) {
        const std::scoped_lock lock(m_mutex);
        serviceTime += Duration(m_random.below(static_cast<std::uint64_t>(switches.spread.count())));
    }
    std::this_thread::sleep_for(serviceTime);
    record("end", call, {});
    {
        const std::scoped_lock lock(m_mutex);
        --m_running;
    }
    Answer answer;
    answer.status = switches.fails ? 500 : 200;
    answer.contentType = "application/octet-stream";
    answer.body = switches.fails ? std::string("failed") : "answer to " + call.body;
    if (switches.cutsAnswers)
        answer.delivery = Delivery::CutShort;
    return answer;
}

void UpstreamService::record(const std::string& event, const Call& call, const std::string& reason)
{
    auto object = newEvent(event);
    object->set("upstream", m_options.id);
    object->set("request", call.header("x-request-id"));
    object->set("caller", call.caller());
    object->set("body", call.body);
    if (!reason.empty())
        object->set("reason", reason);
    m_recorder.add(object);
}

Answer UpstreamService::control(const Call& call)
{
    Answer answer;
    if (call.path == "/record") {
        answer.body = m_recorder.toText(call.number("after"));
        return answer;
    }
    auto object = platform::parseObject(call.body);
    if (object)
        set(**object);
    else
        answer.status = 400;
    return answer;
}

void UpstreamService::set(const JsonObject& object)
{
    m_faults.set(object);
    std::unique_lock lock(m_mutex);
    auto& now = m_switches;
    const auto before = now;
    now.isBusy = object.optValue("busy", now.isBusy);
    now.fails = object.optValue("fail", now.fails);
    now.cutsAnswers = object.optValue("cutAnswers", now.cutsAnswers);
    now.swapsAnswers = object.optValue("swapAnswers", now.swapsAnswers);
    now.isLeaving = object.optValue("leaving", now.isLeaving);
    now.isQuiet = object.optValue("quiet", now.isQuiet);
    now.isDead = object.optValue("die", now.isDead);
    now.serviceTime = Duration(object.optValue<Poco::Int64>("serviceMs", now.serviceTime.count()));
    now.spread = Duration(object.optValue<Poco::Int64>("spreadMs", now.spread.count()));
    const bool leaves = now.isLeaving && !before.isLeaving;
    const bool dies = now.isDead && !before.isDead;
    lock.unlock();
    if (leaves)
        record("leaving", {}, {});
    if (dies) {
        record("die", {}, {});
        m_faults.stop();
        m_service->close();
    }
}

UpstreamService::Switches UpstreamService::switches() const
{
    const std::scoped_lock lock(m_mutex);
    return m_switches;
}

std::vector<platform::Machine> UpstreamService::machines() const
{
    const auto now = switches();
    if (now.isDead)
        return {};
    const auto state = now.isLeaving ? platform::MachineState::Leaving : platform::MachineState::Live;
    return { { m_options.id, platform::MachineKind::Upstream, state, ZoneId(m_options.zone), m_address, {},
        m_options.slots } };
}

} // namespace jujubereach::standins
