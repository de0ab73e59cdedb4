#include "refusals.h"

#include <Poco/JSON/Array.h>

namespace jujubereach::daemon {

namespace {

    constexpr std::size_t maxRows = 10'000;

} // namespace

Refusals::Refusals(Context& ctx, Cluster& cluster)
    : m_ctx(ctx)
    , m_cluster(cluster)
{
}

std::string Refusals::add(const RefusedWork& work)
{
    if (m_rows.size() >= maxRows)
        m_rows.pop_front();
    auto reference = m_ctx.holder() + "-" + std::to_string(++m_lastNumber);
    m_rows.push_back({ reference, m_ctx.wallClock(), work });
    m_ctx.metrics.add("jujubereach_refusals_total",
        { { "workspace", work.workspace.str() }, { "class", work.workClass.str() },
            { "reason", work.reason } });
    return reference;
}

Rows Refusals::ownRows(const std::string& reference) const
{
    Rows rows = new Poco::JSON::Array;
    for (const auto& row : m_rows) {
        if (!reference.empty() && reference != row.reference)
            continue;
        auto out = makeJson();
        out->set("reference", row.reference);
        out->set("time", static_cast<Poco::Int64>(row.time.milliseconds));
        out->set("workspace", row.work.workspace.str());
        out->set("caller", row.work.caller.str());
        out->set("class", row.work.workClass.str());
        out->set("reason", row.work.reason);
        out->set("count", 1);
        out->set("ran", std::string("no"));
        rows->add(out);
    }
    return rows;
}

void Refusals::onPeerCall(const wire::ApiCallT& call, const Answer& answer) const
{
    answer(rowsAnswer("refusals", ownRows(call.query)));
}

void Refusals::list(const ApiRequest& call, const Answer& answer)
{
    wire::ApiCallT query;
    query.operation = wire::ApiOperation::ListRefusals;
    if (auto it = call.query.find("reference"); it != call.query.end())
        query.query = it->second;
    gatherRows(m_ctx, "refusals", ownRows(query.query), m_cluster.allAddresses(), query, answer);
}

} // namespace jujubereach::daemon
