#include "domains.h"

#include "jujubereach/base/random.h"
#include "jujubereach/membership/ownership.h"
#include "jujubereach/placement/pack.h"

#include <Poco/UUIDGenerator.h>
#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace jujubereach::daemon {

namespace {

    constexpr Duration driveInterval { 50 };
    constexpr Duration forwardTimeout { 4000 };
    constexpr Duration retryAfter { 1000 };
    constexpr unsigned maxHops = 3;
    constexpr std::uint64_t longestRunTimeMs = 90ULL * 24 * 3'600'000;

    // Job ids are "<zone>.<domain>.<term>-<number>".
    std::pair<ZoneId, DomainId> placeOf(const JobId& job)
    {
        const auto& text = job.str();
        const auto first = text.find('.');
        const auto second = first == std::string::npos ? first : text.find('.', first + 1);
        if (second == std::string::npos)
            return {};
        return { ZoneId(text.substr(0, first)), DomainId(text.substr(first + 1, second - first - 1)) };
    }

    const char* fieldOf(wire::ApiOperation operation)
    {
        switch (operation) {
        case wire::ApiOperation::ListJobs:
            return "jobs";
        case wire::ApiOperation::ListWorkers:
            return "workers";
        default:
            return "domains";
        }
    }

    std::vector<WorkerId> workerIdsOf(const manifest::Domain& domain)
    {
        std::vector<WorkerId> workers;
        for (std::uint32_t i = 0; i < manifest::workersOf(domain); ++i)
            workers.push_back(manifest::workerAt(domain, i));
        return workers;
    }

    ApiError notReached()
    {
        return { 503, "owner_not_reached", "the domain's owner does not answer; try again with the same key",
            {}, Ran::Unknown, {}, retryAfter };
    }

} // namespace

Domains::Domains(Context& ctx, Cluster& cluster, Copies& copies, DomainHooks hooks)
    : m_ctx(ctx)
    , m_cluster(cluster)
    , m_hooks(std::move(hooks))
    , m_copies(copies)
{
}

void Domains::start()
{
    m_ctx.loop.every(driveInterval, [this] {
        for (auto& [id, domain] : m_domains)
            domain->drive();
    });
}

void Domains::configure(const manifest::Manifest& manifest)
{
    m_manifest = manifest;
    const auto* zone = manifest::findZone(manifest, m_ctx.settings.zone);
    std::map<DomainId, std::unique_ptr<Domain>> kept;
    for (const auto& domain : zone ? zone->domains : std::vector<manifest::Domain>()) {
        auto it = m_domains.find(domain.id);
        if (it != m_domains.end() && it->second->workers() == workerIdsOf(domain)) {
            it->second->reconfigure(manifest);
            kept[domain.id] = std::move(it->second);
        } else {
            kept[domain.id] = std::make_unique<Domain>(m_ctx, m_copies, manifest, domain, m_hooks);
            kept[domain.id]->setMachines(m_machines);
        }
    }
    m_domains = std::move(kept);
    m_shapeDomains.clear();
    if (auto packing = outcomeOf([&] { return placement::packShapes(manifest); })) {
        for (const auto& placed : *packing.value) {
            if (placed.zone == m_ctx.settings.zone)
                m_shapeDomains[{ placed.workspace, placed.shape }].push_back(placed.domain);
        }
    }
    onView();
}

void Domains::onMachines(const std::vector<platform::Machine>& machines)
{
    m_machines = machines;
    for (auto& [id, domain] : m_domains)
        domain->setMachines(machines);
}

void Domains::onView()
{
    const auto live = m_cluster.live();
    for (auto& [id, domain] : m_domains)
        domain->setOwning(!m_leaving && m_cluster.joined()
            && membership::shouldOwn(live, m_ctx.settings.zone, id, m_ctx.self.host));
}

void Domains::rebuild()
{
    m_domains.clear();
    configure(m_manifest);
}

void Domains::leave()
{
    m_leaving = true;
    onView();
}

bool Domains::released() const
{
    return std::all_of(
        m_domains.begin(), m_domains.end(), [](const auto& entry) { return entry.second->released(); });
}

Domain* Domains::find(const DomainId& domain)
{
    auto it = m_domains.find(domain);
    return it == m_domains.end() ? nullptr : it->second.get();
}

Result<Domains::Submitted> Domains::parse(const std::string& body) const
{
    BOOST_LEAF_AUTO(fields, FieldReader::parse(body));
    Submitted submitted;
    auto& spec = submitted.call.spec;
    spec.workspace = WorkspaceId(fields.requiredText("workspace"));
    spec.workClass = ClassId(fields.requiredText("class"));
    spec.caller = CallerId(fields.requiredText("caller"));
    spec.kind = fields.text("kind");
    spec.accelerators = static_cast<std::uint32_t>(fields.number("accelerators", 1, 1, 1'000'000));
    spec.declaredRunTime = Duration(fields.number("runTimeMs", 60'000, 1, longestRunTimeMs));
    spec.checkpointTime = Duration(fields.number("checkpointTimeMs", 0, 0, 3'600'000));
    spec.checkpointable = fields.flag("checkpointable", false);
    spec.restartable = fields.flag("restartable", false);
    if (const auto shape = fields.text("shape"); !shape.empty())
        spec.shape = ShapeId(shape);
    submitted.zone = ZoneId(fields.text("zone", m_ctx.settings.zone.str()));
    const auto key = fields.text("key");
    if (auto finished = fields.finish(); !finished)
        return finished.error();
    submitted.call.key = spec.workspace.str() + "/" + key;
    return submitted;
}

// What can be told without the domain: such a job never runs anywhere.
std::optional<ApiError> Domains::precheck(const scheduling::JobSpec& spec) const
{
    const auto refusal = [](scheduling::RefusalReason reason, std::string what, std::string where) {
        return ApiError { 422, scheduling::nameOf(reason), std::move(what), std::move(where), Ran::No, {},
            {} };
    };
    const auto* workspace = manifest::findWorkspace(m_manifest, spec.workspace);
    if (!workspace)
        return refusal(scheduling::RefusalReason::UnknownWorkspace,
            "workspace '" + spec.workspace.str() + "' is not in the manifest", "workspace");
    if (!manifest::findClass(m_manifest, spec.workClass))
        return refusal(scheduling::RefusalReason::UnknownClass,
            "class '" + spec.workClass.str() + "' is not in the manifest", "class");
    std::uint32_t largest = 0;
    for (const auto& [id, domain] : m_domains)
        largest = std::max(largest, domain->accelerators());
    const auto bound = std::min(largest, m_manifest.limits.maxGang);
    if (spec.accelerators > bound)
        return refusal(scheduling::RefusalReason::NeverFits,
            "a gang of " + std::to_string(spec.accelerators)
                + " accelerators can never run here; the largest is " + std::to_string(bound),
            "accelerators");
    if (workspace->quota > 0 && spec.accelerators > workspace->quota)
        return refusal(scheduling::RefusalReason::NeverFits,
            "a gang of " + std::to_string(spec.accelerators) + " accelerators is larger than the quota of "
                + std::to_string(workspace->quota) + " of workspace '" + workspace->id.str() + "'",
            "accelerators");
    if (spec.shape && !m_shapeDomains.contains({ spec.workspace, *spec.shape }))
        return refusal(scheduling::RefusalReason::UnknownShape,
            "workspace '" + workspace->id.str() + "' has no shape '" + spec.shape->str() + "' in this zone",
            "shape");
    return std::nullopt;
}

void Domains::refuse(const scheduling::JobSpec& spec, ApiError error, const Answer& answer)
{
    error.reference = m_hooks.refuse({ spec.workspace, spec.caller, spec.workClass, error.error });
    answer(errorAnswer(error));
}

void Domains::submit(const ApiRequest& call, Answer answer)
{
    submitDocument(call.body, 0, std::move(answer));
}

void Domains::submitDocument(const std::string& body, unsigned hops, Answer answer)
{
    auto submitted = outcomeOf([&] { return parse(body); });
    if (!submitted)
        return answer(errorAnswer(submitted.error));
    auto& call = submitted.value->call;
    if (m_domains.empty())
        return answer(errorAnswer(ApiError {
            503, "no_manifest", "no manifest with this zone is in force", {}, Ran::No, {}, retryAfter }));
    if (call.key.back() == '/')
        call.key += Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    wire::ApiCallT forwarded;
    forwarded.operation = wire::ApiOperation::SubmitJob;
    forwarded.document = body;
    forwarded.hops = static_cast<std::uint8_t>(hops + 1);
    if (submitted.value->zone != m_ctx.settings.zone)
        return toZone(submitted.value->zone, std::move(forwarded), answer);
    if (auto error = precheck(call.spec))
        return refuse(call.spec, std::move(*error), answer);
    const auto domain = chooseDomain(call);
    if (auto* local = find(domain); local && (local->isOwner() || hops >= maxHops))
        return local->submit(call, std::move(answer));
    toOwner(domain, std::move(forwarded), answer, [answer] { answer(errorAnswer(notReached())); });
}

// The same key always leads to the same domain, whose journal recognises it.
DomainId Domains::chooseDomain(const JobCall& call) const
{
    std::vector<DomainId> fitting;
    if (call.spec.shape) {
        fitting = m_shapeDomains.at({ call.spec.workspace, *call.spec.shape });
    } else {
        for (const auto& [id, domain] : m_domains) {
            if (domain->accelerators() >= call.spec.accelerators)
                fitting.push_back(id);
        }
    }
    return *std::max_element(fitting.begin(), fitting.end(), [&](const DomainId& a, const DomainId& b) {
        return stableHash(call.key + "/" + a.str()) < stableHash(call.key + "/" + b.str());
    });
}

void Domains::forward(
    const std::string& address, wire::ApiCallT call, Answer answer, std::function<void()> onNotReached)
{
    m_ctx.peers->call(address, wire::bodyOf(std::move(call)), forwardTimeout,
        [answer = std::move(answer), onNotReached = std::move(onNotReached)](wire::CallResult result) {
            auto* reply = result.reply ? result.reply->body.AsApiReply() : nullptr;
            if (!reply)
                return onNotReached();
            ApiAnswer out { reply->status, reply->document, "application/json", {} };
            if (reply->retry_after_ms > 0)
                out.retryAfter = Duration(reply->retry_after_ms);
            answer(std::move(out));
        });
}

void Domains::toOwner(
    const DomainId& domain, wire::ApiCallT call, Answer answer, std::function<void()> onNotReached)
{
    const auto owner = membership::preferredOwner(m_cluster.live(), m_ctx.settings.zone, domain);
    const auto address = owner && *owner != m_ctx.self.host ? m_cluster.addressOf(*owner) : std::nullopt;
    if (address && call.hops <= maxHops)
        return forward(*address, std::move(call), std::move(answer), std::move(onNotReached));
    answer(errorAnswer(ApiError {
        503, "no_owner", "the domain is between owners; try again", {}, Ran::No, {}, retryAfter }));
}

void Domains::toZone(const ZoneId& zone, wire::ApiCallT call, const Answer& answer)
{
    const auto address = m_cluster.addressInZone(zone);
    if (!address || call.hops > maxHops)
        return answer(errorAnswer(ApiError { 503, "zone_not_reached",
            "zone '" + zone.str() + "' is not reached from here", "zone", Ran::No, {}, retryAfter }));
    forward(*address, std::move(call), answer, [answer] { answer(errorAnswer(notReached())); });
}

void Domains::onJob(wire::ApiOperation operation, const JobId& job, const Answer& answer)
{
    runOperation(operation, job, 0, answer);
}

void Domains::runOperation(
    wire::ApiOperation operation, const JobId& job, unsigned hops, const Answer& answer)
{
    const auto [zone, domain] = placeOf(job);
    wire::ApiCallT call;
    call.operation = operation;
    call.id = job.str();
    call.hops = static_cast<std::uint8_t>(hops + 1);
    if (!zone.empty() && zone != m_ctx.settings.zone)
        return toZone(zone, std::move(call), answer);
    auto* local = find(domain);
    if (!local)
        return answer(errorAnswer(Error { ErrorCode::NotFound, "no such job", "id", job.str() }));
    if (!local->isOwner()) {
        const bool mayRead = operation == wire::ApiOperation::ShowJob;
        return toOwner(domain, std::move(call), answer, [this, id = domain, job, mayRead, answer] {
            if (auto* reader = find(id); mayRead && reader)
                return reader->showFromJournal(job, answer);
            answer(errorAnswer(notReached()));
        });
    }
    switch (operation) {
    case wire::ApiOperation::CancelJob:
        return local->cancel(job, answer);
    case wire::ApiOperation::ExplainJob:
        return local->explain(job, answer);
    default:
        return local->show(job, answer);
    }
}

void Domains::onPeerCall(const wire::ApiCallT& call, Answer answer)
{
    switch (call.operation) {
    case wire::ApiOperation::SubmitJob:
        return submitDocument(call.document, call.hops, std::move(answer));
    case wire::ApiOperation::ShowJob:
    case wire::ApiOperation::CancelJob:
    case wire::ApiOperation::ExplainJob:
        return runOperation(call.operation, JobId(call.id), call.hops, answer);
    case wire::ApiOperation::ListJobs:
    case wire::ApiOperation::ListWorkers:
    case wire::ApiOperation::Status:
        return answer(rowsAnswer(fieldOf(call.operation), ownRows(call.operation)));
    default:
        answer(errorAnswer(Error { ErrorCode::InvalidInput, "unknown operation", "operation", {} }));
    }
}

// Domains whose owner is another host are asked there.
std::vector<std::string> Domains::otherOwners() const
{
    std::set<std::string> addresses;
    for (const auto& [id, domain] : m_domains) {
        const auto owner = membership::preferredOwner(m_cluster.live(), m_ctx.settings.zone, id);
        if (domain->isOwner() || !owner || *owner == m_ctx.self.host)
            continue;
        if (const auto address = m_cluster.addressOf(*owner))
            addresses.insert(*address);
    }
    return { addresses.begin(), addresses.end() };
}

Rows Domains::ownRows(wire::ApiOperation operation)
{
    Rows rows = new Poco::JSON::Array;
    for (auto& [id, domain] : m_domains) {
        if (!domain->isOwner())
            continue;
        if (operation == wire::ApiOperation::ListJobs)
            domain->listJobs(*rows);
        else if (operation == wire::ApiOperation::ListWorkers)
            domain->listWorkers(*rows);
        else
            rows->add(domain->usageJson());
    }
    return rows;
}

void Domains::gather(wire::ApiOperation operation, const Answer& answer)
{
    wire::ApiCallT call;
    call.operation = operation;
    gatherRows(m_ctx, fieldOf(operation), ownRows(operation), otherOwners(), call, answer);
}

} // namespace jujubereach::daemon
