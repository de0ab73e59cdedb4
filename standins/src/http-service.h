// A small HTTP server on loopback whose handler says what to answer and how the answer gets lost.
#pragma once

#include "jujubereach/base/time.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace jujubereach::standins {

struct Call {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string& lowerCaseName) const;
    std::string parameter(const std::string& name) const;
    std::uint64_t number(const std::string& name) const; ///< 0 when missing or malformed.
    std::string caller() const { return header("x-caller-host"); }
};

enum class Delivery {
    Whole,
    Drop, ///< Closes the connection without an answer.
    Silent, ///< Leaves the connection open without an answer.
    CutShort, ///< Closes the connection in the middle of the body.
};

struct Answer {
    int status = 200;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
    Delivery delivery = Delivery::Whole;
};

using Handler = std::function<Answer(const Call& call)>;

/// Serves from construction on, with a thread for each connection.
class HttpService {
public:
    /// Port 0 takes any free port. Throws Poco::Exception when the port is taken.
    HttpService(std::uint16_t port, Handler handler, int threads = 128);
    ~HttpService();
    HttpService(const HttpService&) = delete;
    HttpService& operator=(const HttpService&) = delete;

    /// Stops to listen and closes every connection, as the end of the process would.
    void close();
    std::uint16_t port() const { return m_port; }
    std::string address() const;

private:
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
    std::uint16_t m_port = 0;
};

} // namespace jujubereach::standins
