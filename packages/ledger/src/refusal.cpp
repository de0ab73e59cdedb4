#include "jujubereach/ledger/refusal.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace jujubereach::ledger {

namespace {

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream in(text);
        for (std::string part; std::getline(in, part, separator);)
            parts.push_back(part);
        return parts;
    }

    bool parseNumber(const std::string& text, std::uint64_t& number)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc() && end == text.data() + text.size();
    }

    template <typename Id> bool matchesId(const std::optional<Id>& wanted, const Id& id)
    {
        return !wanted || *wanted == id || id.str() == wildcardId;
    }

} // namespace

std::string textOf(const Reference& reference)
{
    std::ostringstream out;
    out << reference.zone << '/' << reference.host << '.' << reference.incarnation << '/' << reference.segment
        << '/' << reference.number;
    return out.str();
}

Result<Reference> parseReference(const std::string& text)
{
    auto invalid = [&] {
        return fail(
            { ErrorCode::InvalidInput, "a reference reads <zone>/<host>.<incarnation>/<segment>/<number>",
                "reference", text.substr(0, 80) });
    };
    auto parts = split(text, '/');
    auto dot = parts.size() == 4 ? parts[1].rfind('.') : std::string::npos;
    if (dot == std::string::npos)
        return invalid();
    Reference reference;
    reference.zone = ZoneId(parts[0]);
    reference.host = HostId(parts[1].substr(0, dot));
    bool numbers = parseNumber(parts[1].substr(dot + 1), reference.incarnation.value)
        && parseNumber(parts[2], reference.segment) && parseNumber(parts[3], reference.number);
    if (!numbers || reference.zone.empty() || reference.host.empty())
        return invalid();
    return reference;
}

std::string segmentKey(const Reference& reference)
{
    std::ostringstream out;
    out << segmentPrefix(reference.zone) << reference.host << '#' << reference.incarnation << '/'
        << reference.segment;
    return out.str();
}

std::string segmentPrefix(const ZoneId& zone)
{
    return zone.empty() ? "refusals/" : "refusals/" + zone.str() + "/";
}

bool matches(const RefusalQuery& query, const RefusalEntry& entry)
{
    if (query.reference && *query.reference != entry.reference)
        return false;
    if (!matchesId(query.workspace, entry.workspace) || !matchesId(query.caller, entry.caller))
        return false;
    if (!matchesId(query.workClass, entry.workClass) || (query.reason && *query.reason != entry.reason))
        return false;
    bool late = query.until && entry.from >= *query.until;
    bool early = query.from && entry.from.milliseconds + entry.span.count() <= query.from->milliseconds;
    return !late && !early;
}

std::vector<RefusalEntry> merge(const std::vector<RefusalEntry>& entries, const RefusalQuery& query)
{
    std::map<std::string, const RefusalEntry*> byReference;
    for (const auto& entry : entries) {
        if (!matches(query, entry))
            continue;
        auto& known = byReference[entry.reference];
        if (!known || known->count < entry.count)
            known = &entry;
    }
    std::vector<RefusalEntry> merged;
    merged.reserve(byReference.size());
    for (const auto& [reference, entry] : byReference)
        merged.push_back(*entry);
    std::ranges::stable_sort(merged, [](const auto& a, const auto& b) { return a.from > b.from; });
    merged.resize(std::min(merged.size(), query.limit));
    return merged;
}

} // namespace jujubereach::ledger
