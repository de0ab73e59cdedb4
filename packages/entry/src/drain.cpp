#include "jujubereach/entry/drain.h"

namespace jujubereach::entry {

namespace {

    constexpr Duration minServingTime { 2500 }; // Two missed readiness checks, 1 s apart, plus network delay.
    constexpr Duration checkInterval { 100 };
    constexpr Duration answerMargin { 800 }; // From the last answers to the kill of the process.
    constexpr Duration stopMargin { 200 }; // From the end of the process to its kill.

} // namespace

Drain::Drain(Duration stopBound, DrainHooks hooks)
    : m_hooks(std::move(hooks))
    , m_start(m_hooks.clock())
    , m_answersBy(m_start + std::max(Duration(0), stopBound - answerMargin))
    , m_stopBy(m_start + std::max(Duration(0), stopBound - stopMargin))
    , m_self(std::make_shared<Drain*>(this))
{
}

Drain::~Drain()
{
    *m_self = nullptr;
}

void Drain::start()
{
    m_hooks.log("drain",
        { { "inProgress", m_hooks.requestsInProgress() },
            { "answersWithinMs", (m_answersBy - m_start).count() } });
    check();
}

void Drain::check()
{
    const auto now = m_hooks.clock();
    if (now >= m_answersBy && !std::exchange(m_callsAnswered, true))
        m_hooks.answerOpenCalls();
    const auto inProgress = m_hooks.requestsInProgress();
    if (m_accepting) {
        if (now < m_answersBy && (now - m_start < minServingTime || inProgress > 0))
            return checkLater();
        m_hooks.stopAccepting();
        m_accepting = false;
        return checkLater();
    }
    const auto quiet = inProgress == 0;
    if (now < m_stopBy && !(quiet && m_wasQuiet)) {
        m_wasQuiet = quiet;
        return checkLater();
    }
    m_hooks.log("drained", { { "inProgress", inProgress }, { "tookMs", (now - m_start).count() } });
    m_hooks.stop();
}

void Drain::checkLater()
{
    m_hooks.after(checkInterval, [this, self = m_self] {
        if (*self)
            check();
    });
}

} // namespace jujubereach::entry
