#include "users-worker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujubereach::standins {

namespace json = boost::json;

namespace {

    constexpr Duration beatInterval { 1000 };
    constexpr std::int64_t maxHoldMs = 10'000;
    constexpr Duration paceDelay { 100 };
    constexpr Duration tailWindow { 500 };
    constexpr Duration standstill { 86'400'000 }; // At pace 0; longer than any run.
    constexpr Duration minWork { 200 };
    constexpr std::int64_t workSpreadMs = 2500;
    constexpr int failurePercent = 5;
    constexpr int beatsOfSilence = 3; // After these the platform removes the entry.
    constexpr std::int64_t crashSpreadMs = 150; // From the start of a deadly task to the crash.
    constexpr Duration minDownTime { 1000 };
    constexpr std::int64_t downSpreadMs = 4000;
    constexpr int crashesOfADeadlyTask = 3;
    constexpr int startsTooMany = 3; // After these crashes.

    std::uint64_t number(const json::object& in, const char* name)
    {
        const auto* found = in.if_contains(name);
        return found ? found->to_number<std::uint64_t>() : 0;
    }

    double real(const json::object& in, const char* name, double fallback)
    {
        const auto* found = in.if_contains(name);
        return found ? found->to_number<double>() : fallback;
    }

    std::string jobOf(const std::string& task)
    {
        return task.substr(0, task.find('.'));
    }

    // The spec names a deadly task by its step and index, for example "0.2".
    bool isDeadly(const json::object& spec, const std::string& task)
    {
        const auto* deadly = spec.if_contains("deadly");
        return deadly && task.ends_with(".0." + std::string(deadly->as_string()));
    }

} // namespace

UsersWorker::UsersWorker(boost::asio::io_context& loop, UsersStore& store, WorkerRecord& record,
    std::string id, const std::string& address, std::string shownAddress, std::string rack)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_firstId(std::move(id))
    , m_id(m_firstId)
    , m_shownAddress(std::move(shownAddress))
    , m_rack(std::move(rack))
    , m_server(loop, [this](const auto& request, auto respond) { handle(request, std::move(respond)); })
    , m_beat(loop)
    , m_lease(loop)
    , m_return(loop)
    , m_silence(loop)
    , m_random(std::hash<std::string> {}(m_id))
{
    if (!m_server.listen(address))
        throw std::runtime_error("the stand-in worker cannot listen on " + address);
    rebirth();
    beat();
}

UsersWorker::~UsersWorker()
{
    for (auto& [task, live] : m_live)
        live.timer->cancel();
}

void UsersWorker::rebirth()
{
    if (m_down)
        return;
    endLife();
    m_bornAt = steadyClock()();
    m_born = std::max(m_born + 1, systemWallClock()().milliseconds);
}

void UsersWorker::endLife()
{
    for (auto& [task, live] : m_live) {
        ++m_record.crashesUnder[task];
        live.timer->cancel();
        --m_record.live[task];
    }
    m_live.clear();
    m_highestEnded.clear();
    m_ended.clear();
    m_lastNumber = m_fence = 0;
    m_deadline = 0;
    m_lease.cancel();
    for (auto& waiting : m_waiting) // The next life does not answer them.
        waiting.timer->cancel();
    m_waiting.clear();
}

void UsersWorker::crash(Duration downTime, bool newId)
{
    goDown(downTime, [this, newId] { comeBack(newId); });
}

void UsersWorker::restart(Duration downTime)
{
    goDown(downTime, [this] {
        m_down = false;
        m_silence.cancel();
        m_silentId.clear();
        rebirth();
    });
}

void UsersWorker::goDown(Duration downTime, std::function<void()> comeBack)
{
    if (m_down)
        return;
    m_down = true;
    ++m_crashes;
    endLife();
    removeEntry();
    m_silentId = m_id;
    m_silence.expires_after(beatInterval * beatsOfSilence);
    m_silence.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            removeEntry();
    });
    m_return.expires_after(downTime);
    m_return.async_wait([comeBack = std::move(comeBack)](const boost::system::error_code& failed) {
        if (!failed)
            comeBack();
    });
}

void UsersWorker::comeBack(bool newId)
{
    m_down = false;
    if (newId) {
        m_id = m_firstId + '-' + std::to_string(m_crashes);
        m_seq = 0;
    } else {
        m_silence.cancel();
        m_silentId.clear();
    }
    rebirth();
    beat();
}

void UsersWorker::removeEntry()
{
    if (!m_silentId.empty())
        m_store.remove("servers/" + std::exchange(m_silentId, {}));
}

void UsersWorker::crashBy(const std::string& task)
{
    ++m_record.crashes[task];
    crash(minDownTime + Duration(static_cast<std::int64_t>(m_random() % downSpreadMs)), m_random() % 2 == 0);
}

void UsersWorker::setCapacity(const Size& capacity)
{
    const auto now = steadyClock()();
    std::erase_if(m_formerCapacities, [now](const FormerCapacity& former) { return former.until < now; });
    m_formerCapacities.push_back({ m_capacity, now + capacityAllowance });
    m_capacity = capacity;
}

bool UsersWorker::hasRoomFor(const Size& size)
{
    auto used = size;
    for (const auto& [task, live] : m_live) {
        used.milliCores += live.size.milliCores;
        used.memoryMb += live.size.memoryMb;
        used.accelerators += live.size.accelerators;
    }
    const auto fits = [&used](const Size& whole) {
        return used.milliCores <= whole.milliCores && used.memoryMb <= whole.memoryMb
            && used.accelerators <= whole.accelerators;
    };
    return fits(m_capacity)
        || std::any_of(m_formerCapacities.begin(), m_formerCapacities.end(),
            [&, now = steadyClock()()](
                const FormerCapacity& former) { return now <= former.until && fits(former.size); });
}

std::int64_t UsersWorker::clock() const
{
    return 1 + (steadyClock()() - m_bornAt).count();
}

void UsersWorker::beat()
{
    m_beat.expires_after(beatInterval);
    m_beat.async_wait([this](const boost::system::error_code& failed) {
        if (!failed)
            beat();
    });
    if (m_down)
        return;
    m_store.put("servers/" + m_id,
        json::serialize(json::object { { "Service", "service" }, { "Address", m_shownAddress },
            { "Zone", "z" }, { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 },
            { "Seq", ++m_seq }, { "born", m_born }, { "Labels", { "a", m_rack } },
            { "Capacity",
                { { "Cpu", m_capacity.milliCores }, { "MemMb", m_capacity.memoryMb },
                    { "Gpu", m_capacity.accelerators } } } }));
}

void UsersWorker::handle(const net::HttpRequest& request, net::Respond respond)
{
    if (m_down)
        return;
    if (!request.header("Expected-Instance").empty() && request.header("Expected-Instance") != m_id)
        return respond({ 421, {}, {} });
    const auto order = json::parse(request.body).as_object();
    if (request.target == "/v1/hold")
        return hold(order, std::move(respond));
    if (request.target == "/v1/pace")
        return respond(pace(order));
    respond(request.target == "/v1/run-start" ? start(order) : stop(order));
}

bool UsersWorker::isFenced(const json::object& order)
{
    const auto fence = number(order, "FencingToken");
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

net::HttpResponse UsersWorker::refuse(const char* reason)
{
    return { 409, {}, json::serialize(json::object { { "ClockMs", clock() }, { "Reason", reason } }) };
}

void UsersWorker::extend(const json::object& order)
{
    const auto deadline = static_cast<std::int64_t>(number(order, "DeadlineMs"));
    m_deadline = std::max(m_deadline, std::min(deadline, clock() + maxHoldMs));
    m_lease.expires_after(Duration(std::max<std::int64_t>(1, m_deadline - clock())));
    m_lease.async_wait([this](const boost::system::error_code& failed) {
        if (!failed && clock() >= m_deadline)
            lapse();
    });
}

void UsersWorker::lapse()
{
    for (auto& ended : m_ended)
        ended.startCount = UINT64_MAX; // The end does not stand any more.
    while (!m_live.empty())
        end(m_live.begin()->first, "lapsed");
}

net::HttpResponse UsersWorker::start(const json::object& order)
{
    if (isFenced(order))
        return refuse("fence");
    if (static_cast<std::int64_t>(number(order, "DeadlineMs")) <= clock())
        return refuse("late");
    extend(order);
    const std::string task(order.at("Task").as_string());
    const auto run = number(order, "RunId");
    const auto found = m_live.find(task);
    if (found == m_live.end() || found->second.run != run) {
        if (found != m_live.end() || m_highestEnded[task] >= run)
            return refuse("old");
        Live live;
        live.run = run;
        const auto spec = json::parse(std::string(order.at("Spec").as_string())).as_object();
        const auto fills = spec.contains("fills"); // Uses only what others leave idle.
        live.size = { fills ? 0 : static_cast<std::int64_t>(number(spec, "cpu")),
            static_cast<std::int64_t>(number(spec, "mem")), static_cast<std::int64_t>(number(spec, "gpu")) };
        if (!hasRoomFor(live.size))
            m_record.broken.push_back("LIMIT: no room for " + task + " on " + m_id);
        if (m_record.live[task]++ > 0)
            m_record.broken.push_back("TWICE: two runs of " + task);
        if (m_record.done.contains(task))
            m_record.broken.push_back("TWICE: " + task + " was done and acknowledged");
        if (m_record.hostsInTouch && m_record.crashes[task] >= crashesOfADeadlyTask
            && ++m_record.startsAfterThirdCrash[task] == startsTooMany)
            m_record.broken.push_back("BUDGET: " + task + " goes on to start after three crashes");
        m_record.lastStart[task] = ++m_record.starts;
        live.pacedAt = steadyClock()();
        live.deadly = isDeadly(spec, task);
        live.load = real(spec, "load", 0);
        live.harm = real(spec, "harm", 1);
        live.work = live.deadly ? Duration(1 + static_cast<std::int64_t>(m_random() % crashSpreadMs))
                                : minWork + Duration(static_cast<std::int64_t>(m_random() % workSpreadMs));
        if (spec.contains("workMs"))
            live.work = Duration(static_cast<std::int64_t>(number(spec, "workMs")));
        live.outcome = m_random() % 100 < failurePercent ? "failed" : "done";
        m_live[task] = std::move(live);
        arm(task);
    }
    return { 200, {}, json::serialize(json::object { { "ClockMs", clock() } }) };
}

void UsersWorker::arm(const std::string& task)
{
    auto& live = m_live.at(task);
    if (live.timer)
        live.timer->cancel();
    const auto left = (static_cast<double>(live.work.count()) - live.done) * 100 / std::max(1, live.pace);
    const auto wait = std::max(Duration(1), Duration(std::lround(left)));
    live.timer = std::make_shared<boost::asio::steady_timer>(m_loop, live.pace == 0 ? standstill : wait);
    live.timer->async_wait([this, task, timer = live.timer](const boost::system::error_code& failed) {
        if (failed)
            return;
        const auto ending = m_live.find(task);
        if (ending != m_live.end() && ending->second.timer == timer) // Else it was cancelled.
            ending->second.deadly ? crashBy(task) : end(task, ending->second.outcome);
    });
}

net::HttpResponse UsersWorker::pace(const json::object& order)
{
    if (isFenced(order))
        return refuse("fence");
    const auto percent = number(order, "Percent");
    if (percent > 100)
        return { 400, {}, {} };
    const std::string task(order.at("Task").as_string());
    const auto run = number(order, "RunId");
    const auto found = m_live.find(task);
    if (found == m_live.end() || found->second.run != run)
        return refuse("old");
    auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, paceDelay);
    timer->async_wait([this, timer, task, run, percent](const boost::system::error_code& failed) {
        if (!failed)
            setPace(task, run, static_cast<int>(percent));
    });
    return { 200, {}, json::serialize(json::object { { "ClockMs", clock() } }) };
}

void UsersWorker::setPace(const std::string& task, std::uint64_t run, int percent)
{
    const auto found = m_live.find(task);
    if (found == m_live.end() || found->second.run != run)
        return;
    auto& live = found->second;
    live.done = doneOf(live);
    live.formerPace = std::exchange(live.pace, percent);
    live.pacedAt = steadyClock()();
    arm(task);
}

double UsersWorker::doneOf(const Live& live)
{
    return live.done + static_cast<double>((steadyClock()() - live.pacedAt).count()) * live.pace / 100;
}

// A tail covers the last half second: the former pace of a neighbour counts until then.
double UsersWorker::tailOf(const std::string& task, const Live& live) const
{
    auto tail = live.load;
    for (const auto& [other, neighbour] : m_live) {
        const auto isRecent = steadyClock()() - neighbour.pacedAt < tailWindow;
        const auto pace = isRecent ? std::max(neighbour.pace, neighbour.formerPace) : neighbour.pace;
        if (other != task)
            tail *= 1 + (neighbour.harm - 1) * pace / 100;
    }
    return tail;
}

net::HttpResponse UsersWorker::stop(const json::object& order)
{
    if (isFenced(order))
        return refuse("fence");
    const std::string task(order.at("Task").as_string());
    const auto run = number(order, "RunId");
    m_highestEnded[task] = std::max(m_highestEnded[task], run);
    const auto found = m_live.find(task);
    if (found != m_live.end() && found->second.run <= run)
        end(task, "stopped");
    return { 200, {}, json::serialize(json::object { { "ClockMs", clock() } }) };
}

void UsersWorker::end(const std::string& task, const std::string& how)
{
    const auto found = m_live.find(task);
    if (found == m_live.end())
        return;
    found->second.timer->cancel();
    m_highestEnded[task] = std::max(m_highestEnded[task], found->second.run);
    m_ended.push_back({ ++m_lastNumber, task, found->second.run, how, m_record.lastStart[task] });
    --m_record.live[task];
    m_live.erase(found);
    m_record.failures[task] += how == "failed";
    if (how == "done")
        m_record.doneOfJob[jobOf(task)].insert(task);
    for (auto& waiting : m_waiting) {
        waiting.timer->cancel();
        waiting.respond(lists());
    }
    m_waiting.clear();
}

void UsersWorker::acknowledge(std::uint64_t upTo)
{
    std::erase_if(m_ended, [&](const End& ended) {
        if (ended.number > upTo)
            return false;
        const auto stands = ended.how == "done" && ended.startCount != UINT64_MAX;
        if (stands && m_record.lastStart[ended.task] > ended.startCount)
            m_record.broken.push_back("TWICE: " + ended.task + " was started after it was done");
        if (stands)
            m_record.done.insert(ended.task);
        return true;
    });
}

void UsersWorker::hold(const json::object& order, net::Respond respond)
{
    if (isFenced(order))
        return respond(refuse("fence"));
    if (clock() > m_deadline)
        lapse();
    if (order.contains("DeadlineMs"))
        extend(order);
    acknowledge(number(order, "LastSeen"));
    const auto wait = number(order, "WaitMs");
    if (wait == 0 || !m_ended.empty())
        return respond(lists());
    m_waiting.push_back(
        { std::move(respond), std::make_shared<boost::asio::steady_timer>(m_loop, Duration(wait)) });
    const auto place = std::prev(m_waiting.end());
    place->timer->async_wait(
        [this, place, present = std::weak_ptr(place->timer)](const boost::system::error_code& failed) {
            if (failed || present.expired()) // Answered after the timer had fired.
                return;
            place->respond(lists());
            m_waiting.erase(place);
        });
}

net::HttpResponse UsersWorker::lists()
{
    json::array running;
    for (const auto& [task, live] : m_live) {
        const auto percent = std::lround(100 * doneOf(live) / static_cast<double>(live.work.count()));
        running.push_back({ json::string(task), live.run, "", std::min<std::int64_t>(99, percent),
            std::lround(tailOf(task, live)) });
    }
    json::array ended;
    for (const auto& row : m_ended)
        ended.push_back({ row.number, json::string(row.task), row.run, json::string(row.how), "" });
    return { 200, {},
        json::serialize(json::object {
            { "ClockMs", clock() }, { "born", m_born }, { "Running", running }, { "Finished", ended } }) };
}

} // namespace jujubereach::standins
