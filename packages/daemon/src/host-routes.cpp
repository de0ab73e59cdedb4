// The HTTP interface: which call goes to which part.
#include "host.h"

#include <Poco/JSON/Array.h>
#include <glog/logging.h>

namespace jujubereach::daemon {

namespace {

    ApiAnswer noSuchCall()
    {
        return errorAnswer(Error { ErrorCode::NotFound, "no such call; see docs/api.md", "path", {} });
    }

    ApiAnswer textAnswer(int status, std::string text)
    {
        return { status, std::move(text), "text/plain; version=0.0.4", {} };
    }

    std::string labelText(const metrics::Labels& labels)
    {
        std::string out;
        for (const auto& [name, value] : labels)
            out.append(out.empty() ? "" : " ").append(name).append("=").append(value);
        return out;
    }

    Poco::JSON::Array::Ptr histogramRows(const metrics::Registry& metrics)
    {
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        for (const auto& row : metrics.histograms()) {
            auto out = makeJson();
            out->set("name", row.name);
            out->set("labels", labelText(row.labels));
            out->set("count", static_cast<Poco::UInt64>(row.quantiles.count));
            out->set("mean", row.quantiles.mean);
            out->set("p50", row.quantiles.p50);
            out->set("p99", row.quantiles.p99);
            rows->add(out);
        }
        return rows;
    }

    std::vector<std::string> stringsOf(const Json& json, const std::string& name)
    {
        std::vector<std::string> out;
        if (const auto array = json->getArray(name)) {
            for (const auto& value : *array)
                out.push_back(value.toString());
        }
        return out;
    }

} // namespace

void Host::route(const ApiRequest& call, const Answer& answer)
{
    const auto& path = call.path;
    const auto is = [&](std::size_t i, const char* name) { return path.size() > i && path[i] == name; };
    if (is(0, "healthz"))
        return answer(textAnswer(200, "ok\n"));
    if (is(0, "readyz"))
        return ready(answer);
    if (is(0, "metrics"))
        return answer(textAnswer(200, m_metrics.renderText()));
    if (!is(0, "v1") || path.size() < 2)
        return answer(noSuchCall());
    if (is(1, "jobs"))
        return routeJobs(call, answer);
    if (is(1, "requests"))
        return routeRequests(call, answer);
    if (is(1, "manifest"))
        return routeManifest(call, answer);
    if (is(1, "test") && m_settings.testHooks)
        return routeTest(call, answer);
    if (is(1, "drain") && call.method == Method::Post) {
        answer(jsonAnswer(202, makeJson()));
        return beginDrain();
    }
    if (call.method != Method::Get)
        return answer(noSuchCall());
    if (is(1, "refusals"))
        return m_refusals.list(call, answer);
    if (is(1, "status"))
        return status(answer);
    if (is(1, "hosts"))
        return hosts(answer);
    if (is(1, "workers"))
        return m_domains.gather(wire::ApiOperation::ListWorkers, answer);
    if (is(1, "upstreams"))
        return answer(jsonAnswer(200, m_requests.upstreamsJson()));
    answer(noSuchCall());
}

void Host::routeJobs(const ApiRequest& call, const Answer& answer)
{
    const auto& path = call.path;
    if (path.size() == 2 && call.method == Method::Post) {
        if (m_draining)
            return answer(errorAnswer(ApiError {
                503, "draining", "this host is stopping; use another", {}, Ran::No, {}, Duration(1000) }));
        return m_domains.submit(call, answer);
    }
    if (path.size() == 2 && call.method == Method::Get)
        return m_domains.gather(wire::ApiOperation::ListJobs, answer);
    if (path.size() == 3 && call.method == Method::Get)
        return m_domains.onJob(wire::ApiOperation::ShowJob, JobId(path[2]), answer);
    if (path.size() == 3 && call.method == Method::Delete)
        return m_domains.onJob(wire::ApiOperation::CancelJob, JobId(path[2]), answer);
    if (path.size() == 4 && path[3] == "explain" && call.method == Method::Get)
        return m_domains.onJob(wire::ApiOperation::ExplainJob, JobId(path[2]), answer);
    answer(noSuchCall());
}

void Host::routeRequests(const ApiRequest& call, const Answer& answer)
{
    if (call.path.size() == 2 && call.method == Method::Post)
        return m_requests.submit(call, answer);
    if (call.path.size() == 3 && call.method == Method::Get)
        return m_requests.show(call, answer);
    answer(noSuchCall());
}

void Host::routeManifest(const ApiRequest& call, const Answer& answer)
{
    if (call.path.size() == 2 && call.method == Method::Put)
        return m_manifests.apply(call, answer);
    if (call.path.size() == 2 && call.method == Method::Get)
        return m_manifests.show(answer);
    if (call.path.size() == 3 && call.path[2] == "diff" && call.method == Method::Post)
        return m_manifests.diff(call, answer);
    answer(noSuchCall());
}

void Host::routeTest(const ApiRequest& call, const Answer& answer)
{
    auto parsed = outcomeOf([&] { return parseObject(call.body); });
    if (!parsed)
        return answer(errorAnswer(parsed.error));
    const auto json = *parsed.value;
    if (call.path.size() == 3 && call.path[2] == "cut") {
        const auto peers = stringsOf(json, "peers");
        {
            std::lock_guard lock(m_cutMutex);
            m_cut = { peers.begin(), peers.end() };
        }
        for (const auto& peer : peers)
            m_ctx.peers->disconnect(peer);
        return answer(jsonAnswer(200, makeJson()));
    }
    if (call.path.size() == 3 && call.path[2] == "break") {
        m_testHooks.broken.insert(json->optValue<std::string>("mechanism", ""));
        m_domains.rebuild();
        return answer(jsonAnswer(200, makeJson()));
    }
    answer(noSuchCall());
}

void Host::ready(const Answer& answer) const
{
    if (m_draining)
        return answer(textAnswer(503, "draining\n"));
    if (!m_manifests.ready())
        return answer(textAnswer(503, "no manifest is in force on this host yet\n"));
    answer(textAnswer(200, "ready\n"));
}

void Host::status(const Answer& answer)
{
    auto json = makeJson();
    json->set("host", m_ctx.self.host.str());
    json->set("incarnation", static_cast<Poco::UInt64>(m_ctx.self.incarnation.value));
    json->set("zone", m_settings.zone.str());
    json->set("region", m_settings.region.str());
    json->set("state",
        std::string(m_draining        ? "draining"
                : m_manifests.ready() ? "ready"
                                      : "without manifest"));
    json->set("manifestRevision", static_cast<Poco::UInt64>(m_manifests.counter()));
    json->set("upSeconds", static_cast<Poco::Int64>((m_ctx.clock() - m_startedAt).count() / 1000));
    json->set("liveHosts", static_cast<unsigned>(m_cluster.live().size()));
    json->set("requestsInProgress", static_cast<unsigned>(m_requests.inProgress()));
    json->set("copiesForPeers", static_cast<unsigned>(m_copies.count()));
    const auto counters = m_ctx.peers->counters();
    json->set("innerBytesIn", static_cast<Poco::UInt64>(counters.bytesIn));
    json->set("innerBytesOut", static_cast<Poco::UInt64>(counters.bytesOut));
    json->set("histograms", histogramRows(m_metrics));
    m_domains.gather(wire::ApiOperation::Status, [json, answer](const ApiAnswer& domains) mutable {
        if (const auto parsed = outcomeOf([&] { return parseObject(domains.body); }))
            json->set("domains", (*parsed.value)->getArray("domains"));
        answer(jsonAnswer(200, json));
    });
}

void Host::hosts(const Answer& answer) const
{
    auto json = makeJson();
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const auto& host : m_cluster.rows()) {
        auto row = makeJson();
        row->set("host", host.host.str());
        row->set("zone", host.zone.str());
        row->set("state", host.state);
        row->set("inner", host.innerAddress);
        row->set("http", host.httpAddress);
        row->set("manifestRevision", static_cast<Poco::UInt64>(host.manifestCounter));
        rows->add(row);
    }
    json->set("hosts", rows);
    answer(jsonAnswer(200, json));
}

} // namespace jujubereach::daemon
