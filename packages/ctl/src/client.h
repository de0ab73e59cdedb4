// Calls entry hosts over HTTP: the first that answers, in the order given.
#pragma once

#include "jujubereach/base/error.h"
#include "jujubereach/base/time.h"

#include <Poco/JSON/Object.h>

#include <map>
#include <string>
#include <vector>

namespace jujubereach::ctl {

struct Reply {
    int status = 0;
    std::string text;
    Poco::JSON::Object::Ptr json; ///< Never null; empty when the body is no JSON object.

    bool ok() const { return status >= 200 && status < 300; }
    std::string field(const std::string& name) const;
};

struct Call {
    std::string method = "GET";
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    /// May be sent again to another host after a lost reply. Submits and requests carry a key, so that a
    /// second send is recognised; every call of this program is safe to repeat.
    Duration timeout { 30'000 };
};

class Client {
public:
    explicit Client(std::vector<std::string> servers)
        : m_servers(std::move(servers))
    {
    }

    /// The first whole reply. Unavailable names every host that was tried and why it failed.
    Result<Reply> send(const Call& call) const;

private:
    std::vector<std::string> m_servers; ///< "ip:port", in order of preference.
};

/// Body that jobs and requests begin with; an empty key becomes a random one, so that a second send of the
/// same call is recognised.
Poco::JSON::Object callerJson(const std::string& workspace, const std::string& workClass,
    const std::string& caller, const std::string& key);
std::string toText(const Poco::JSON::Object& json);

/// Escapes one value of a query.
std::string escapeQuery(const std::string& value);

} // namespace jujubereach::ctl
