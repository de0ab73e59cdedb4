// Text encoding of refusals: one JSON array per line and entry, so that a segment grows by appending.
#include "jujubereach/ledger/refusal.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>

#include <set>
#include <sstream>

namespace jujubereach::ledger {

namespace {

    using Json = Poco::JSON::Array;

    constexpr std::size_t fieldCount = 9;

    RefusalEntry entryFrom(const Json& json)
    {
        RefusalEntry entry;
        unsigned next = 0;
        entry.reference = json.getElement<std::string>(next++);
        entry.workspace = WorkspaceId(json.getElement<std::string>(next++));
        entry.caller = CallerId(json.getElement<std::string>(next++));
        entry.workClass = ClassId(json.getElement<std::string>(next++));
        entry.reason = json.getElement<std::string>(next++);
        entry.ran = json.getElement<std::string>(next++);
        entry.from.milliseconds = json.getElement<std::int64_t>(next++);
        entry.span = Duration(json.getElement<std::int64_t>(next++));
        entry.count = json.getElement<std::uint64_t>(next++);
        return entry;
    }

} // namespace

journal::Record encodeEntry(const RefusalEntry& entry)
{
    Json json;
    json.add(entry.reference);
    json.add(entry.workspace.str());
    json.add(entry.caller.str());
    json.add(entry.workClass.str());
    json.add(entry.reason);
    json.add(entry.ran);
    json.add(entry.from.milliseconds);
    json.add(entry.span.count());
    json.add(entry.count);
    std::ostringstream out;
    json.stringify(out);
    return { entry.reference, out.str() };
}

Result<RefusalEntry> decodeEntry(const std::string& body)
{
    auto unreadable = [&](const std::string& what) {
        return fail({ ErrorCode::InvalidInput, what, "refusal", body.substr(0, 80) });
    };
    try {
        Poco::JSON::Parser parser;
        auto json = parser.parse(body).extract<Json::Ptr>();
        if (json->size() < fieldCount)
            return unreadable("a refusal has too few fields");
        return entryFrom(*json);
    } catch (const Poco::Exception& exception) {
        return unreadable(exception.displayText());
    }
}

Result<std::vector<RefusalEntry>> decodeSegment(const std::string& value)
{
    std::vector<RefusalEntry> entries;
    std::istringstream lines(journal::payloadOf(value));
    for (std::string line; std::getline(lines, line);) {
        BOOST_LEAF_AUTO(entry, decodeEntry(line));
        entries.push_back(std::move(entry));
    }
    return entries;
}

journal::AppliedRecords applyEntries(const std::string& payload, const std::vector<journal::Record>& records)
{
    journal::AppliedRecords applied { payload, {} };
    std::set<std::string> known;
    std::istringstream lines(payload);
    for (std::string line; std::getline(lines, line);)
        known.insert(line);
    for (const auto& record : records) {
        if (known.insert(record.body).second)
            applied.payload += record.body + "\n";
        applied.rejections.emplace_back();
    }
    return applied;
}

} // namespace jujubereach::ledger
