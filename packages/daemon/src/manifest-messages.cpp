#include "manifest-messages.h"

#include <Poco/JSON/Array.h>

namespace jujubereach::daemon {

namespace {

    using manifest::ApplyStatus;
    using manifest::StoreStatus;

    StoreStatus statusOf(platform::KvStatus status)
    {
        switch (status) {
        case platform::KvStatus::Ok:
            return StoreStatus::Ok;
        case platform::KvStatus::Conflict:
            return StoreStatus::Conflict;
        case platform::KvStatus::NotFound:
            return StoreStatus::NotFound;
        case platform::KvStatus::Limited:
        case platform::KvStatus::Unreachable:
            return StoreStatus::NotDone;
        case platform::KvStatus::TooLarge:
            return StoreStatus::TooLarge;
        case platform::KvStatus::Unknown:
            return StoreStatus::Unknown;
        }
        return StoreStatus::Unknown;
    }

    Json acceptedJson(const manifest::ApplyResult& result)
    {
        auto json = makeJson();
        json->set("revision", static_cast<Poco::UInt64>(result.counter));
        json->set("state", std::string(result.status == ApplyStatus::Unchanged ? "unchanged" : "accepted"));
        json->set("rebased", result.rebased);
        json->set("what", result.what);
        Poco::JSON::Array::Ptr changes = new Poco::JSON::Array;
        for (const auto& change : result.changes)
            changes->add(change.name.str());
        json->set("changedSections", changes);
        return json;
    }

    ApiAnswer conflictAnswer(const manifest::ApplyResult& result)
    {
        auto json = makeJson();
        json->set("error", std::string("conflict"));
        json->set("what", result.what);
        json->set("ran", std::string("no"));
        json->set("otherOperator", result.other.operatorName.str());
        json->set("otherRevision", static_cast<Poco::UInt64>(result.other.counter));
        Poco::JSON::Array::Ptr disputed = new Poco::JSON::Array;
        for (const auto& name : result.disputed)
            disputed->add(name.str());
        json->set("disputedSections", disputed);
        return jsonAnswer(409, json);
    }

} // namespace

wire::ManifestFetchT toWire(const manifest::ManifestRequest& request)
{
    wire::ManifestFetchT fetch;
    fetch.root = request.root;
    fetch.sections = request.sections;
    for (const auto& name : request.contents)
        fetch.contents.push_back(name.str());
    return fetch;
}

manifest::ManifestRequest fromWire(const wire::ManifestFetchT& fetch)
{
    manifest::ManifestRequest request;
    request.root = fetch.root;
    request.sections = fetch.sections;
    for (const auto& name : fetch.contents)
        request.contents.emplace_back(name);
    return request;
}

wire::ManifestNewsT toWire(const manifest::ManifestReply& reply)
{
    wire::ManifestNewsT news;
    if (reply.root)
        news.root = manifest::encode(*reply.root);
    for (const auto& [section, content] : reply.sections) {
        auto entry = std::make_unique<wire::NamedContentT>();
        entry->section = section.str();
        entry->content = content.str();
        news.sections.push_back(std::move(entry));
    }
    for (const auto& content : reply.contents) {
        auto entry = std::make_unique<wire::ContentT>();
        entry->name = content.name.str();
        entry->text = content.text;
        news.contents.push_back(std::move(entry));
    }
    return news;
}

manifest::ManifestReply fromWire(const wire::ManifestNewsT& news)
{
    manifest::ManifestReply reply;
    if (!news.root.empty())
        reply.root = outcomeOf([&] { return manifest::decodeRoot(news.root); }).value;
    for (const auto& entry : news.sections)
        reply.sections[manifest::SectionName(entry->section)] = manifest::ContentName(entry->content);
    for (const auto& entry : news.contents)
        reply.contents.push_back({ manifest::ContentName(entry->name), entry->text });
    return reply;
}

manifest::StoreReply toStoreReply(const platform::KvReply& reply)
{
    manifest::StoreReply out;
    out.status = statusOf(reply.status);
    out.revision = reply.revision;
    if (!reply.entries.empty()) {
        out.value = reply.entries.front().value;
        out.revision = reply.entries.front().revision;
    }
    return out;
}

ApiAnswer faultsAnswer(const std::vector<manifest::Fault>& faults)
{
    auto json = makeJson();
    json->set("error", std::string("invalid_manifest"));
    json->set("what", std::to_string(faults.size()) + " fault(s) in the manifest; nothing was applied");
    json->set("ran", std::string("no"));
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const auto& fault : faults) {
        auto row = makeJson();
        row->set("where", fault.where);
        row->set("what", fault.what);
        rows->add(row);
    }
    json->set("faults", rows);
    return jsonAnswer(400, json);
}

ApiAnswer answerOf(const manifest::ApplyResult& result)
{
    switch (result.status) {
    case ApplyStatus::Accepted:
    case ApplyStatus::Unchanged:
        return jsonAnswer(200, acceptedJson(result));
    case ApplyStatus::Conflict:
        return conflictAnswer(result);
    case ApplyStatus::Invalid:
        return faultsAnswer(result.faults);
    case ApplyStatus::Unavailable:
        return errorAnswer(
            ApiError { 503, "service_unavailable", result.what, {}, Ran::No, {}, Duration(2000) });
    case ApplyStatus::Unknown:
        break;
    }
    return errorAnswer(
        ApiError { 504, "outcome_unknown", result.what, {}, Ran::Unknown, {}, Duration(2000) });
}

} // namespace jujubereach::daemon
