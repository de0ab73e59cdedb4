#include "api.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <sstream>

namespace jujubereach::daemon {

namespace {

    constexpr std::size_t longestQuotedInput = 80;
    constexpr std::size_t longestText = 4096;

    int statusOf(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::InvalidInput:
            return 400;
        case ErrorCode::NotFound:
            return 404;
        case ErrorCode::Conflict:
            return 409;
        case ErrorCode::Overloaded:
            return 429;
        case ErrorCode::Unavailable:
            return 503;
        case ErrorCode::Unknown:
            return 500;
        }
        return 500;
    }

} // namespace

Json makeJson()
{
    return new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

std::string toText(const Json& json)
{
    std::ostringstream out;
    json->stringify(out);
    return out.str();
}

ApiAnswer jsonAnswer(int status, const Json& json)
{
    return { status, toText(json), "application/json", {} };
}

ApiAnswer errorAnswer(const ApiError& error)
{
    auto json = makeJson();
    json->set("error", error.error);
    json->set("what", error.what);
    if (!error.where.empty())
        json->set("where", error.where);
    json->set("ran", std::string(nameOf(error.ran)));
    if (!error.reference.empty())
        json->set("reference", error.reference);
    if (error.retryAfter)
        json->set("retryAfterMs", static_cast<Poco::Int64>(error.retryAfter->count()));
    auto answer = jsonAnswer(error.status, json);
    answer.retryAfter = error.retryAfter;
    return answer;
}

ApiAnswer errorAnswer(const Error& error)
{
    ApiError api { statusOf(error.code), nameOf(error.code), error.what, error.where, Ran::No, {}, {} };
    return errorAnswer(api);
}

Result<Json> parseObject(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        return parser.parse(text).extract<Json>();
    } catch (const Poco::Exception& e) {
        return fail({ ErrorCode::InvalidInput, "the body is not a JSON object: " + e.message(), "body",
            text.substr(0, longestQuotedInput) });
    }
}

Result<FieldReader> FieldReader::parse(const std::string& text)
{
    BOOST_LEAF_AUTO(json, parseObject(text));
    return FieldReader(json);
}

bool FieldReader::take(const std::string& name)
{
    m_read.push_back(name);
    return m_json->has(name) && !m_json->isNull(name);
}

void FieldReader::fault(const std::string& name, const std::string& what)
{
    if (!m_fault)
        m_fault = Error { ErrorCode::InvalidInput, "field '" + name + "' " + what, name, {} };
}

std::string FieldReader::text(const std::string& name, const std::string& fallback)
{
    if (!take(name))
        return fallback;
    const auto value = m_json->get(name);
    if (!value.isString()) {
        fault(name, "must be a string");
        return fallback;
    }
    auto out = value.extract<std::string>();
    if (name != "body" && out.size() > longestText)
        fault(name, "is longer than 4096 bytes");
    return out;
}

std::string FieldReader::requiredText(const std::string& name)
{
    auto out = text(name);
    if (out.empty())
        fault(name, "is missing or empty");
    return out;
}

std::uint64_t FieldReader::number(
    const std::string& name, std::uint64_t fallback, std::uint64_t low, std::uint64_t high)
{
    if (!take(name))
        return fallback;
    const auto bounds = "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    try {
        const auto value = m_json->get(name);
        if (value.isInteger() && !value.isBoolean()) {
            const auto number = value.convert<Poco::Int64>();
            if (number >= 0 && static_cast<std::uint64_t>(number) >= low
                && static_cast<std::uint64_t>(number) <= high)
                return static_cast<std::uint64_t>(number);
        }
    } catch (const Poco::Exception&) {
        // Out of the range of any integer: the same fault as below.
    }
    fault(name, bounds);
    return fallback;
}

bool FieldReader::flag(const std::string& name, bool fallback)
{
    if (!take(name))
        return fallback;
    const auto value = m_json->get(name);
    if (value.isBoolean())
        return value.extract<bool>();
    fault(name, "must be true or false");
    return fallback;
}

Result<void> FieldReader::finish()
{
    for (const auto& name : m_json->getNames()) {
        if (std::find(m_read.begin(), m_read.end(), name) == m_read.end())
            fault(name.substr(0, longestQuotedInput), "is unknown");
    }
    if (m_fault)
        return fail(*m_fault);
    return {};
}

} // namespace jujubereach::daemon
