// Callers' requests. Each is decided by the store, under a configuration that is confirmed to be in force.
#include "host-impl.h"

#include "open-call.h"

#include <algorithm>

namespace jujubereach::entry {

namespace keys = fleet::keys;

namespace {

    constexpr Duration writeTimeout { 1200 }; // Three round trips to a store 100 times slower than usual.
    constexpr Duration readTimeout { 900 };
    constexpr Duration defaultDeadline { 3000 };
    constexpr Duration outageRetryAfter { 1000 }; // Most hosts reach the store again within 1 to 2 s.
    // A job's end reaches the store after two one-way trips between regions and a write.
    constexpr Duration completionWait { 250 };
    constexpr Duration completionWaitSlack { 300 }; // For the answer of a watch without events.
    constexpr std::size_t maxIdBytes = 64; // Four times the length of the ids that callers send.

    bool isRefusal(CallOutcome outcome)
    {
        switch (outcome) {
        case CallOutcome::NoSuchRoute:
        case CallOutcome::NoSuchJob:
        case CallOutcome::UnknownKey:
        case CallOutcome::Malformed:
        case CallOutcome::NotAccepted:
        case CallOutcome::Unavailable:
            return true;
        case CallOutcome::Accepted:
        case CallOutcome::State:
        case CallOutcome::Cancelled:
        case CallOutcome::Count:
        case CallOutcome::Undecided:
            break;
        }
        return false;
    }

    std::size_t idLength(const std::string& path, const std::string& prefix)
    {
        return path.size() - std::min(path.size(), prefix.size());
    }

} // namespace

void EntryHost::Impl::finish(const std::shared_ptr<OpenCall>& call, CallerAnswer answer, const char* why)
{
    if (call->outcomeUnknown() && isRefusal(answer.outcome))
        return findOut(call, answer, why);
    answerCall(call, answer, why);
}

void EntryHost::Impl::findOut(const std::shared_ptr<OpenCall>& call, CallerAnswer refusal, const char* why)
{
    // Before the call is routed, its id is not certain.
    if (call->route.empty() || now() >= call->expiresAt)
        return answerCall(call, { CallOutcome::Undecided }, why);
    const auto under = *call->unansweredUnder;
    const auto read = [this, call, under, refusal, why] {
        // A write that expects an older configuration is carried out before this read, or never.
        const auto mayTakeEffect = m_configRevision.value <= under.value;
        ++call->attempts;
        m_hooks.store.read(keys::job(call->id), call->timeLeft(now(), readTimeout),
            [this, self = m_self, call, mayTakeEffect, refusal, why](const StoreAnswer& answer) {
                if (*self)
                    outcomeRead(call, answer, mayTakeEffect, refusal, why);
            });
    };
    if (m_configRevision.value > under.value || under == OpenCall::anyRevision)
        return read();
    confirmConfig(read);
}

void EntryHost::Impl::outcomeRead(const std::shared_ptr<OpenCall>& call, const StoreAnswer& record,
    bool mayTakeEffect, CallerAnswer refusal, const char* why)
{
    if (record.fate == StoreFate::Unknown && call->canRetry(now()))
        return findOut(call, refusal, why);
    const auto present = record.fate == StoreFate::Done && !record.items.empty();
    if (present && call->request.kind == CallKind::Submit)
        return answerCall(call, { CallOutcome::Accepted }, "stored, as a read shows");
    const auto job = present ? fleet::decodeJob(call->id, record.items[0].value) : std::nullopt;
    if (job && job->cancelled)
        return answerCall(call, { CallOutcome::Cancelled }, "stored, as a read shows");
    const auto isRead = record.fate == StoreFate::Missing || job;
    if (isRead && !mayTakeEffect)
        return answerCall(call, refusal, why);
    answerCall(call, { CallOutcome::Undecided }, why);
}

void EntryHost::Impl::answerCall(const std::shared_ptr<OpenCall>& call, CallerAnswer answer, const char* why)
{
    if (call->isAnswered())
        return;
    if (m_hooks.meter.add)
        m_hooks.meter.add("jujubereach_requests_total",
            { { "workspace", call->workspace.str() }, { "route", call->route.str() },
                { "kind", nameOf(call->request.kind) }, { "outcome", nameOf(answer.outcome) },
                { "reason", why } },
            1);
    if (call->request.kind != CallKind::Query || answer.outcome != CallOutcome::State)
        m_hooks.log("call",
            { { "id", call->id.str() }, { "kind", nameOf(call->request.kind) },
                { "outcome", nameOf(answer.outcome) }, { "why", why }, { "route", call->route.str() },
                { "workspace", call->workspace.str() }, { "configVersion", m_config ? m_config->version : 0 },
                { "newsAgeMs", (now() - m_configConfirmedAt).count() }, { "attempts", call->attempts },
                { "tookMs", (now() - call->arrivedAt).count() } });
    m_openCalls.erase(call);
    std::exchange(call->done, nullptr)(answer);
}

void EntryHost::Impl::answerOpenCalls()
{
    const auto open = m_openCalls;
    for (const auto& call : open) {
        CallerAnswer answer { CallOutcome::Unavailable, {}, 0, outageRetryAfter };
        if (call->writing || call->outcomeUnknown())
            answer.outcome = CallOutcome::Undecided;
        else if (call->state)
            answer = { CallOutcome::State, *call->state };
        answerCall(call, answer, "this host stops");
    }
}

void EntryHost::Impl::unavailable(const std::shared_ptr<OpenCall>& call, const char* why)
{
    refuse(call, CallOutcome::Unavailable, why);
}

void EntryHost::Impl::refuse(const std::shared_ptr<OpenCall>& call, CallOutcome outcome, const char* why)
{
    finish(call, { outcome, {}, 0, outageRetryAfter }, why);
}

void EntryHost::Impl::handle(CallerRequest request, CallerDone done)
{
    auto call = std::make_shared<OpenCall>();
    call->request = std::move(request);
    call->done = std::move(done);
    call->arrivedAt = now();
    m_openCalls.insert(call);
    const auto deadline = call->request.deadline.count() > 0 ? call->request.deadline : defaultDeadline;
    call->expiresAt = std::min(
        m_answersBy, call->arrivedAt + std::max(OpenCall::answerReserve, deadline - OpenCall::answerReserve));
    // Refusals are logged by id too; routing checks later whether it is a valid job id.
    call->id = JobId(call->request.path.substr(call->request.path.rfind('/') + 1, maxIdBytes));
    if (call->arrivedAt >= m_answersBy)
        return unavailable(call, "this host stops");
    if (configIsFresh())
        return dispatch(call);
    confirmConfig([this, call] {
        if (configIsFresh())
            return dispatch(call);
        forward(call, [this, call] { unavailable(call, "the configuration is not confirmed"); });
    });
}

void EntryHost::Impl::dispatch(const std::shared_ptr<OpenCall>& call)
{
    if (call->isAnswered())
        return;
    if (m_config->version < call->request.minConfigVersion)
        return unavailable(call, "the forwarding host knows a newer configuration");
    const auto* route = m_config->findRoute(call->request.hostName, call->request.path);
    if (!route)
        return finish(call, { CallOutcome::NoSuchRoute }, "no route");
    call->route = route->id;
    const auto key = m_config->keys.find(call->request.key);
    if (key != m_config->keys.end())
        call->workspace = key->second;
    else if (!route->isPublic)
        return finish(call, { CallOutcome::UnknownKey }, "no workspace has this key");
    if (idLength(call->request.path, route->prefix) == 0)
        return call->request.kind == CallKind::Query ? count(call)
                                                     : finish(call, { CallOutcome::Malformed }, "no job id");
    call->id = JobId(call->request.path.substr(route->prefix.size()));
    if (call->id.str().size() > maxIdBytes || call->id.str().find('/') != std::string::npos)
        return finish(call,
            { call->request.kind == CallKind::Submit ? CallOutcome::Malformed : CallOutcome::NoSuchJob },
            "not a job id");
    switch (call->request.kind) {
    case CallKind::Submit:
        return submit(call);
    case CallKind::Query:
        return query(call);
    case CallKind::Cancel:
        return cancel(call);
    }
}

const fleet::Route* EntryHost::Impl::allowedRoute(const std::shared_ptr<OpenCall>& call)
{
    if (call->isAnswered())
        return nullptr;
    const auto route = m_config->routes.find(call->route);
    if (route == m_config->routes.end()) {
        finish(call, { CallOutcome::NoSuchRoute }, "no route");
        return nullptr;
    }
    if (!route->second.isPublic && !m_config->keys.contains(call->request.key)) {
        finish(call, { CallOutcome::UnknownKey }, "no workspace has this key");
        return nullptr;
    }
    return &route->second;
}

void EntryHost::Impl::submit(const std::shared_ptr<OpenCall>& call)
{
    if (!call->request.spec)
        return finish(call, { CallOutcome::Malformed }, "the body is no job");
    const auto* route = allowedRoute(call); // The configuration may have changed since the last attempt.
    if (!route)
        return;
    fleet::JobRecord record;
    record.id = call->id;
    record.route = call->route;
    record.workspace = call->workspace;
    record.acceptedAt = m_hooks.wall();
    record.spec = *call->request.spec;
    record.terms = *route;
    fleet::StoreWrite write;
    write.expected.push_back({ keys::job(call->id), {} });
    write.expected.push_back({ m_hooks.layout.configKey, m_configRevision });
    write.puts.push_back({ keys::job(call->id), encode(record), {} });
    ++call->attempts;
    call->writing = true;
    m_hooks.store.write(std::move(write), call->timeLeft(now(), writeTimeout),
        [this, self = m_self, call, expectedConfig = m_configRevision](const StoreAnswer& answer) {
            call->writing = false;
            if (*self)
                submitAnswered(call, expectedConfig, answer);
        });
}

void EntryHost::Impl::submitAnswered(
    const std::shared_ptr<OpenCall>& call, Revision expectedConfig, const StoreAnswer& answer)
{
    if (answer.fate == StoreFate::Done)
        return finish(call, { CallOutcome::Accepted }, "stored");
    if (answer.fate == StoreFate::Conflict) {
        auto stale = false;
        for (const auto& item : answer.items) {
            if (item.key == keys::job(call->id))
                return finish(call, { CallOutcome::Accepted }, "stored before");
            if (item.key == m_hooks.layout.configKey) {
                configWritten(item);
                stale = true;
            }
        }
        if (stale && call->attempts < OpenCall::maxAttempts && now() < call->expiresAt)
            return submit(call);
        return refuse(call, CallOutcome::NotAccepted, "the configuration changes too fast");
    }
    if (answer.fate == StoreFate::Refused)
        return forward(
            call, [this, call] { refuse(call, CallOutcome::NotAccepted, "the store refuses writes"); });
    // The write may have taken effect; repeating it shows whether it has, unless it is still in flight.
    call->wroteWithoutAnswer(expectedConfig);
    forward(call, [this, call] {
        if (call->canRetry(now()))
            return submit(call);
        finish(call, { CallOutcome::Undecided }, "the store does not answer");
    });
}

void EntryHost::Impl::query(const std::shared_ptr<OpenCall>& call)
{
    const auto failed = [this](const std::shared_ptr<OpenCall>& open, const StoreAnswer& answer) {
        ++open->attempts;
        const auto again = answer.fate == StoreFate::Unknown;
        forward(open, [this, open, again] {
            if (again && open->canRetry(now()))
                return query(open);
            unavailable(open, "the store does not answer");
        });
    };
    m_hooks.store.read(keys::progress(call->id), call->timeLeft(now(), readTimeout),
        [this, self = m_self, call, failed](const StoreAnswer& answer) {
            if (!*self)
                return;
            if (answer.fate == StoreFate::Done && !answer.items.empty()) {
                const auto state = stateOf(answer.items[0]);
                return fleet::isFinal(state) ? finish(call, { CallOutcome::State, state }, "in the store")
                                             : awaitEnd(call, state, answer.at, now() + completionWait);
            }
            if (answer.fate != StoreFate::Missing)
                return failed(call, answer);
            m_hooks.store.read(keys::job(call->id), call->timeLeft(now(), readTimeout),
                [this, self, call, failed](const StoreAnswer& job) {
                    if (!*self)
                        return;
                    if (job.fate == StoreFate::Missing)
                        return finish(call, { CallOutcome::NoSuchJob }, "not in the store");
                    if (job.fate != StoreFate::Done || job.items.empty())
                        return failed(call, job);
                    const auto record = fleet::decodeJob(call->id, job.items[0].value);
                    const auto cancelled = record && record->cancelled;
                    finish(call, { CallOutcome::State, cancelled ? JobState::Cancelled : JobState::Queued },
                        "in the store");
                });
        });
}

JobState EntryHost::Impl::stateOf(const StoreItem& item) const
{
    const auto progress = fleet::decodeProgress(item.value);
    if (!progress)
        m_hooks.log("record-unreadable", { { "key", item.key } });
    return progress ? progress->state : JobState::Running;
}

// Callers often query as the last task ends. An immediate answer would be `running` and cost another query.
void EntryHost::Impl::awaitEnd(
    const std::shared_ptr<OpenCall>& call, JobState state, Revision seenAt, TimePoint until)
{
    call->state = state;
    const auto wait = std::min(until, call->expiresAt - completionWaitSlack) - now();
    if (wait <= Duration(0))
        return finish(call, { CallOutcome::State, state }, "in the store");
    const auto key = keys::progress(call->id);
    m_hooks.store.watch(key, seenAt, wait, wait + completionWaitSlack,
        [this, self = m_self, call, key, state, until](const StoreAnswer& answer) {
            if (!*self)
                return;
            auto last = state;
            for (const auto& event : answer.events) {
                if (!event.deleted && event.item.key == key)
                    last = stateOf(event.item);
            }
            if (answer.fate != StoreFate::Done || answer.events.empty() || fleet::isFinal(last))
                return finish(call, { CallOutcome::State, last }, "in the store");
            awaitEnd(call, last, answer.at, until);
        });
}

void EntryHost::Impl::cancel(const std::shared_ptr<OpenCall>& call)
{
    ++call->attempts;
    m_hooks.store.read(keys::job(call->id), call->timeLeft(now(), readTimeout),
        [this, self = m_self, call](const StoreAnswer& answer) {
            if (!*self)
                return;
            if (answer.fate == StoreFate::Missing)
                return finish(call, { CallOutcome::NoSuchJob }, "not in the store");
            if (answer.fate == StoreFate::Done && !answer.items.empty())
                return writeCancel(call, answer.items[0]);
            forward(call, [this, call, again = answer.fate == StoreFate::Unknown] {
                if (again && call->canRetry(now()))
                    return cancel(call);
                unavailable(call, "the store does not answer");
            });
        });
}

void EntryHost::Impl::writeCancel(const std::shared_ptr<OpenCall>& call, const StoreItem& item)
{
    auto record = fleet::decodeJob(call->id, item.value);
    if (!record)
        return unavailable(call, "the record cannot be read");
    if (record->cancelled)
        return finish(call, { CallOutcome::Cancelled }, "cancelled before");
    if (!allowedRoute(call)) // The configuration may have changed while the record was read.
        return;
    record->cancelled = true;
    fleet::StoreWrite write;
    write.expected.push_back({ item.key, item.revision });
    write.expected.push_back({ m_hooks.layout.configKey, m_configRevision });
    write.puts.push_back({ item.key, encode(*record), {} });
    call->writing = true;
    m_hooks.store.write(std::move(write), call->timeLeft(now(), writeTimeout),
        [this, self = m_self, call, expectedConfig = m_configRevision](const StoreAnswer& answer) {
            call->writing = false;
            if (!*self)
                return;
            if (answer.fate == StoreFate::Done)
                return finish(call, { CallOutcome::Cancelled }, "stored");
            if (answer.fate == StoreFate::Refused)
                return unavailable(call, "the store refuses writes");
            if (answer.fate == StoreFate::Unknown)
                call->wroteWithoutAnswer(expectedConfig);
            for (const auto& changed : answer.items) {
                if (changed.key == m_hooks.layout.configKey)
                    configWritten(changed);
            }
            if (!allowedRoute(call))
                return;
            if (call->canRetry(now()))
                return cancel(call);
            finish(call, { CallOutcome::Undecided }, "the store does not answer");
        });
}

void EntryHost::Impl::count(const std::shared_ptr<OpenCall>& call)
{
    m_hooks.store.read(keys::summary, call->timeLeft(now(), readTimeout),
        [this, self = m_self, call](const StoreAnswer& answer) {
            if (!*self)
                return;
            if (answer.fate == StoreFate::Done && !answer.items.empty()) {
                const auto summary = fleet::decodeSummary(answer.items[0].value);
                // The summary of an earlier owner may be arbitrarily old.
                if (summary && m_knownOwner.value != 0 && summary->owner == m_knownOwner
                    && isFresh(m_watchConfirmedAt)) {
                    CallerAnswer counted { CallOutcome::Count };
                    for (const auto& [route, pending] : summary->pending) {
                        if (route == call->route)
                            counted.pending = pending;
                    }
                    return finish(call, counted, "by the owner");
                }
            } else if (answer.fate != StoreFate::Missing)
                return unavailable(call, "the store does not answer");
            countFromRecords(call);
        });
}

void EntryHost::Impl::countFromRecords(const std::shared_ptr<OpenCall>& call)
{
    auto startedItems = std::make_shared<std::vector<StoreItem>>();
    readPages(keys::progressPrefix, {}, startedItems, [this, call, startedItems](bool read) {
        if (!read)
            return unavailable(call, "the store does not answer");
        auto jobItems = std::make_shared<std::vector<StoreItem>>();
        readPages(keys::jobPrefix, {}, jobItems, [this, call, startedItems, jobItems](bool readJobs) {
            if (!readJobs)
                return unavailable(call, "the store does not answer");
            std::set<JobId> started;
            for (const auto& item : *startedItems)
                started.insert(keys::jobOf(item.key));
            CallerAnswer counted { CallOutcome::Count };
            for (const auto& item : *jobItems) {
                const auto id = keys::jobOf(item.key);
                const auto record = started.contains(id) ? std::nullopt : fleet::decodeJob(id, item.value);
                counted.pending += record && record->route == call->route && !record->cancelled;
            }
            finish(call, counted, "from the records");
        });
    });
}

} // namespace jujubereach::entry
