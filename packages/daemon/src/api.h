// Calls of callers and operators as values, and the typed bodies of their answers.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/id.h"
#include "jujubereach/base/ran.h"
#include "jujubereach/base/time.h"

#include <Poco/JSON/Object.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujubereach::daemon {

enum class Method { Get, Put, Post, Delete, Other };

struct ApiRequest {
    Method method = Method::Get;
    std::vector<std::string> path; ///< Segments without the slashes, decoded.
    std::map<std::string, std::string> query;
    std::string operationId; ///< Header X-Operation-Id.
    std::string operatorName; ///< Header X-Operator.
    bool rebase = false; ///< Header X-Rebase.
    std::optional<std::uint64_t> baseRevision; ///< Header X-Base-Revision.
    std::string body;
    std::shared_ptr<std::atomic<bool>> callerGone; ///< Set when the caller closed its connection.
};

struct ApiAnswer {
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::optional<Duration> retryAfter;
};

using Answer = std::function<void(ApiAnswer)>;

struct ApiError {
    int status = 400;
    std::string error; ///< Stable name of the reason, such as "queue_full".
    std::string what; ///< One sentence for people.
    std::string where;
    Ran ran = Ran::No;
    std::string reference; ///< Of the refusal's record, when there is one.
    std::optional<Duration> retryAfter;
};

using Json = Poco::JSON::Object::Ptr;

Json makeJson();
std::string toText(const Json& json);
ApiAnswer jsonAnswer(int status, const Json& json);
ApiAnswer errorAnswer(const ApiError& error);
ApiAnswer errorAnswer(const Error& error);

/// InvalidInput when the text is not a JSON object.
Result<Json> parseObject(const std::string& text);

/// Reads fields of a JSON body; the first fault is kept and names its field. Unknown fields are faults.
class FieldReader {
public:
    /// Fails when the text is not a JSON object.
    static Result<FieldReader> parse(const std::string& text);

    std::string text(const std::string& name, const std::string& fallback = {});
    std::string requiredText(const std::string& name);
    std::uint64_t number(
        const std::string& name, std::uint64_t fallback, std::uint64_t low, std::uint64_t high);
    bool flag(const std::string& name, bool fallback);

    /// The first fault, also of a field that was never read.
    Result<void> finish();

private:
    explicit FieldReader(Json json)
        : m_json(std::move(json))
    {
    }
    bool take(const std::string& name);
    void fault(const std::string& name, const std::string& what);

    Json m_json;
    std::vector<std::string> m_read;
    std::optional<Error> m_fault;
};

} // namespace jujubereach::daemon
