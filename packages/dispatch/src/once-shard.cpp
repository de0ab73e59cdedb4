#include "once-shard.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <charconv>
#include <sstream>

namespace jujubereach::dispatch {

namespace {

    constexpr std::string_view header = "jujubereach once 1\n";

    std::optional<OnceState> stateOf(const std::string& name)
    {
        for (OnceState state :
            { OnceState::Dispatched, OnceState::Done, OnceState::NotRun, OnceState::Unknown }) {
            if (name == nameOf(state))
                return state;
        }
        return std::nullopt;
    }

    std::string encode(const OnceRecord& record)
    {
        Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
        object.set("digest", record.digest);
        object.set("request", record.request.str());
        object.set("host", record.host.str());
        object.set("incarnation", record.incarnation.value);
        object.set("state", std::string(nameOf(record.state)));
        if (record.state == OnceState::Done)
            object.set("status", record.upstreamStatus);
        if (record.hasBody)
            object.set("body", record.body);
        std::ostringstream out;
        out << record.key << ' ' << record.created.milliseconds << ' ';
        object.stringify(out);
        out << '\n';
        return out.str();
    }

    std::int64_t createdOf(std::string_view line)
    {
        std::size_t start = line.find(' ') + 1;
        std::int64_t created = 0;
        std::from_chars(line.data() + start, line.data() + line.size(), created);
        return created;
    }

    OnceRecord decode(std::string_view line)
    {
        std::size_t keyEnd = line.find(' ');
        std::size_t createdEnd = line.find(' ', keyEnd + 1);
        OnceRecord record;
        record.key = line.substr(0, keyEnd);
        record.created.milliseconds = createdOf(line);

        Poco::JSON::Parser parser;
        auto object
            = parser.parse(std::string(line.substr(createdEnd + 1))).extract<Poco::JSON::Object::Ptr>();
        record.digest = object->getValue<std::string>("digest");
        record.request = RequestId(object->getValue<std::string>("request"));
        record.host = HostId(object->getValue<std::string>("host"));
        record.incarnation.value = object->getValue<std::uint64_t>("incarnation");
        record.state = stateOf(object->getValue<std::string>("state")).value_or(OnceState::Unknown);
        record.upstreamStatus = object->optValue<int>("status", 0);
        record.hasBody = object->has("body");
        record.body = object->optValue<std::string>("body", {});
        return record;
    }

    // A record that cannot be read counts as one that may have run.
    OnceRecord unreadable(const std::string& key)
    {
        OnceRecord record;
        record.key = key;
        record.state = OnceState::Unknown;
        return record;
    }

} // namespace

std::optional<OnceShardText> OnceShardText::from(const std::string& value)
{
    if (value.empty())
        return OnceShardText(std::string(header));
    if (!value.starts_with(header) || value.back() != '\n')
        return std::nullopt;
    return OnceShardText(value);
}

std::string_view OnceShardText::lineOf(const std::string& key) const
{
    std::size_t found = m_text.find('\n' + key + ' ');
    if (found == std::string::npos)
        return {};
    std::size_t start = found + 1;
    return std::string_view(m_text).substr(start, m_text.find('\n', start) + 1 - start);
}

std::optional<OnceRecord> OnceShardText::find(const std::string& key) const
{
    std::string_view line = lineOf(key);
    if (line.empty())
        return std::nullopt;
    try {
        return decode(line);
    } catch (const Poco::Exception&) {
        return unreadable(key);
    }
}

void OnceShardText::put(const OnceRecord& record)
{
    std::string_view old = lineOf(record.key);
    std::string line = encode(record);
    if (old.empty())
        m_text += line;
    else
        m_text.replace(static_cast<std::size_t>(old.data() - m_text.data()), old.size(), line);
}

void OnceShardText::prune(WallTime oldest)
{
    std::string kept(header);
    std::string_view rest = std::string_view(m_text).substr(header.size());
    while (!rest.empty()) {
        std::string_view line = rest.substr(0, rest.find('\n') + 1);
        if (createdOf(line) >= oldest.milliseconds)
            kept += line;
        rest.remove_prefix(line.size());
    }
    m_text = std::move(kept);
}

} // namespace jujubereach::dispatch
