// JSON encoding of a domain's journal and its records. Names are short because the size of a value is
// limited.
#include "jujubereach/journal/job-journal.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace jujubereach::journal {

namespace {

    using Json = Poco::JSON::Object;

    template <typename T> T get(const Json& json, const std::string& name, T fallback)
    {
        return json.has(name) ? json.getValue<T>(name) : fallback;
    }

    std::string text(const Json& json, const std::string& name)
    {
        return get<std::string>(json, name, {});
    }

    void setText(Json& json, const std::string& name, const std::string& value)
    {
        if (!value.empty())
            json.set(name, value);
    }

    std::string textOf(const Json& json)
    {
        std::ostringstream out;
        json.stringify(out);
        return out.str();
    }

    Json::Ptr toJson(const JobEnd& end)
    {
        Json::Ptr json = new Json;
        setText(*json, "k", end.kind);
        setText(*json, "ran", end.ran);
        setText(*json, "why", end.reason);
        setText(*json, "t", end.text);
        json->set("at", end.at.milliseconds);
        return json;
    }

    std::optional<JobEnd> endFrom(const Json& json)
    {
        auto end = json.getObject("end");
        if (!end)
            return std::nullopt;
        return JobEnd { text(*end, "k"), text(*end, "ran"), text(*end, "why"), text(*end, "t"),
            WallTime { get<std::int64_t>(*end, "at", 0) } };
    }

    /// Decodes one JSON object with `read`. Converts Poco's exceptions into errors.
    template <typename F> auto parsed(const std::string& body, F&& read) -> Result<decltype(read(Json()))>
    {
        try {
            Poco::JSON::Parser parser;
            return read(*parser.parse(body).extract<Json::Ptr>());
        } catch (const Poco::Exception& exception) {
            return fail({ ErrorCode::InvalidInput, exception.displayText(), "journal", body.substr(0, 80) });
        }
    }

    JournalEntry entryFrom(const Json& json)
    {
        return { text(json, "key"), text(json, "spec"), text(json, "claim"), endFrom(json),
            WallTime { get<std::int64_t>(json, "at", 0) } };
    }

    JobRecord recordFrom(const Json& json)
    {
        JobRecord record;
        record.kind = static_cast<JobRecordKind>(json.getValue<int>("kind"));
        record.term = get<std::uint64_t>(json, "term", 0);
        record.job = JobId(text(json, "job"));
        record.key = text(json, "key");
        record.spec = text(json, "spec");
        record.gang = text(json, "gang");
        record.end = endFrom(json);
        record.at.milliseconds = get<std::int64_t>(json, "at", 0);
        record.copied = get<bool>(json, "copied", false);
        return record;
    }

    JobJournal journalFrom(const Json& json)
    {
        JobJournal journal;
        journal.term = json.getValue<std::uint64_t>("term");
        auto jobs = json.getObject("jobs");
        for (const auto& [id, job] : *jobs)
            journal.jobs[JobId(id)] = entryFrom(*job.extract<Json::Ptr>());
        return journal;
    }

} // namespace

std::string encodeJournal(const JobJournal& journal)
{
    Json::Ptr jobs = new Json;
    for (const auto& [id, entry] : journal.jobs) {
        Json::Ptr job = new Json;
        setText(*job, "key", entry.key);
        setText(*job, "spec", entry.spec);
        setText(*job, "claim", entry.claim);
        if (entry.end)
            job->set("end", toJson(*entry.end));
        job->set("at", entry.acceptedAt.milliseconds);
        jobs->set(id.str(), job);
    }
    Json json;
    json.set("term", journal.term);
    json.set("jobs", jobs);
    return textOf(json);
}

Result<JobJournal> decodeJournal(const std::string& payload)
{
    if (payload.empty())
        return JobJournal {};
    return parsed(payload, journalFrom);
}

Record encodeRecord(const std::string& id, const JobRecord& record)
{
    Json json;
    json.set("kind", static_cast<int>(record.kind));
    json.set("term", record.term);
    setText(json, "job", record.job.str());
    setText(json, "key", record.key);
    setText(json, "spec", record.spec);
    setText(json, "gang", record.gang);
    if (record.end)
        json.set("end", toJson(*record.end));
    json.set("at", record.at.milliseconds);
    if (record.copied)
        json.set("copied", true);
    return { id, textOf(json) };
}

Result<JobRecord> decodeRecord(const std::string& body)
{
    return parsed(body, recordFrom);
}

Record asCopied(const Record& record)
{
    auto decoded = outcomeOf([&] { return decodeRecord(record.body); });
    if (!decoded)
        return record;
    decoded.value->copied = true;
    return encodeRecord(record.id, *decoded.value);
}

} // namespace jujubereach::journal
