#include "gather.h"

namespace jujubereach::daemon {

namespace {

    constexpr Duration peerTimeout { 1000 };

    struct Gathering {
        std::string field;
        Rows rows;
        Rows notReached = new Poco::JSON::Array;
        std::size_t waiting = 0;
        Answer answer;

        void add(const std::string& document)
        {
            const auto parsed = outcomeOf([&] { return parseObject(document); });
            const auto more = parsed ? (*parsed.value)->getArray(field) : Rows();
            for (unsigned i = 0; more && i < more->size(); ++i)
                rows->add(more->get(i));
        }

        void finish()
        {
            auto json = makeJson();
            json->set(field, rows);
            if (notReached->size() > 0)
                json->set("notReached", notReached);
            answer(jsonAnswer(200, json));
        }
    };

} // namespace

ApiAnswer rowsAnswer(const std::string& field, const Rows& rows)
{
    auto json = makeJson();
    json->set(field, rows);
    return jsonAnswer(200, json);
}

void gatherRows(Context& ctx, const std::string& field, const Rows& own,
    const std::vector<std::string>& addresses, const wire::ApiCallT& call, const Answer& answer)
{
    auto gathering = std::make_shared<Gathering>();
    gathering->field = field;
    gathering->rows = own;
    gathering->waiting = addresses.size();
    gathering->answer = answer;
    if (addresses.empty())
        return gathering->finish();
    for (const auto& address : addresses) {
        ctx.peers->call(address, wire::bodyOf(wire::ApiCallT(call)), peerTimeout,
            [gathering, address](wire::CallResult result) {
                if (auto* reply = result.reply ? result.reply->body.AsApiReply() : nullptr)
                    gathering->add(reply->document);
                else
                    gathering->notReached->add(address);
                if (--gathering->waiting == 0)
                    gathering->finish();
            });
    }
}

} // namespace jujubereach::daemon
