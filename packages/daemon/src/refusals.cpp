#include "refusals.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

namespace jujubereach::daemon {

namespace {

    constexpr std::size_t maxRows = 10'000;
    constexpr Duration peerTimeout { 1000 };

    Poco::JSON::Array::Ptr rowsOf(const std::string& document)
    {
        try {
            Poco::JSON::Parser parser;
            return parser.parse(document).extract<Json>()->getArray("refusals");
        } catch (const Poco::Exception&) {
            return new Poco::JSON::Array;
        }
    }

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
    const auto reference = m_ctx.holder() + "-" + std::to_string(++m_lastNumber);
    m_rows.push_back({ reference, m_ctx.wallClock(), work });
    m_ctx.metrics.add("jujubereach_refusals_total",
        { { "workspace", work.workspace.str() }, { "class", work.workClass.str() },
            { "reason", work.reason } });
    return reference;
}

void Refusals::onPeerCall(const wire::ApiCallT& call, const Answer& answer) const
{
    auto json = makeJson();
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const auto& row : m_rows) {
        if (!call.query.empty() && call.query != row.reference)
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
    json->set("refusals", rows);
    answer(jsonAnswer(200, json));
}

void Refusals::list(const ApiRequest& call, Answer answer)
{
    struct Gather {
        Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
        std::size_t waiting = 1;
        Answer answer;
        void add(const std::string& document)
        {
            if (const auto more = rowsOf(document)) {
                for (const auto& row : *more)
                    rows->add(row);
            }
            if (--waiting > 0)
                return;
            auto json = makeJson();
            json->set("refusals", rows);
            answer(jsonAnswer(200, json));
        }
    };
    auto gather = std::make_shared<Gather>();
    gather->answer = std::move(answer);
    wire::ApiCallT query;
    query.operation = wire::ApiOperation::ListRefusals;
    if (auto it = call.query.find("reference"); it != call.query.end())
        query.query = it->second;
    const auto addresses = m_cluster.allAddresses();
    gather->waiting += addresses.size();
    for (const auto& address : addresses) {
        m_ctx.peers->call(
            address, wire::bodyOf(wire::ApiCallT(query)), peerTimeout, [gather](wire::CallResult result) {
                auto* reply = result.reply ? result.reply->body.AsApiReply() : nullptr;
                gather->add(reply ? reply->document : std::string());
            });
    }
    onPeerCall(query, [gather](const ApiAnswer& own) { gather->add(own.body); });
}

} // namespace jujubereach::daemon
