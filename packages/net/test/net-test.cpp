// HTTP client and server over loopback, including misbehaving peers.
#include "jujubereach/net/http-client.h"
#include "jujubereach/net/http-server.h"
#include "jujubereach/net/run-loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <optional>
#include <thread>

using namespace jujubereach;
using namespace jujubereach::net;
namespace asio = boost::asio;
using asio::ip::tcp;

class NetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(NetTest);
    CPPUNIT_TEST(answersOnOneConnection);
    CPPUNIT_TEST(failedConnectIsNotSent);
    CPPUNIT_TEST(timeoutAfterSendIsUnknown);
    CPPUNIT_TEST(opensNewConnectionAfterTimeout);
    CPPUNIT_TEST(detectsClosedIdleConnection);
    CPPUNIT_TEST(decodesChunkedBodies);
    CPPUNIT_TEST(rejectsOversizedOrMalformedRequests);
    CPPUNIT_TEST(drainAnswersOpenRequests);
    CPPUNIT_TEST(aServerThatStopsAcceptingServesItsConnections);
    CPPUNIT_TEST(expiredTimerDoesNotFailLaterCall);
    CPPUNIT_TEST(nothingIsSentAfterTheDeadline);
    CPPUNIT_TEST(exceptionFailsOnlyItsRequest);
    CPPUNIT_TEST(aLineBreakInAHeaderIsNotSent);
    CPPUNIT_TEST(aCallToAnUnusableAddressIsNotSent);
    CPPUNIT_TEST(idleConnectionsLeaveDescriptorsForOthers);
    CPPUNIT_TEST(aCallWithoutADescriptorClosesAnIdleConnection);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto address = "127.0.0.1:29317";

    struct Loop {
        asio::io_context context { 1 };
        HttpClient client { context };

        CallResult call(const std::string& body = {}, Duration timeout = Duration(1000))
        {
            return callTo(address, { "POST", "/x", { { "K", "v" } }, body }, timeout);
        }

        CallResult callTo(
            const std::string& to, const HttpRequest& request, Duration timeout = Duration(1000))
        {
            CallResult out;
            auto done = false;
            client.call(to, request, timeout, [&](CallResult result) {
                out = std::move(result);
                done = true;
            });
            while (!done) {
                context.restart();
                context.run_one();
            }
            return out;
        }
    };

    static RequestHandler echo()
    {
        return [](const HttpRequest& request, const Respond& respond) {
            respond({ 200, { { "Seen", request.header("k") } }, request.body });
        };
    }

    void answersOnOneConnection()
    {
        Loop loop;
        HttpServer server(loop.context, echo());
        CPPUNIT_ASSERT(server.listen(address));
        for (int i = 0; i < 3; ++i) {
            const auto result = loop.call("body" + std::to_string(i));
            CPPUNIT_ASSERT(result.delivery == DeliveryStatus::Answered);
            CPPUNIT_ASSERT_EQUAL("body" + std::to_string(i), result.response.body);
            CPPUNIT_ASSERT_EQUAL(std::string("v"), result.response.header("seen"));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), loop.client.connectionsOpened());
    }

    static std::string hostAddress(int host) { return "127.0.0." + std::to_string(host) + ":29317"; }

    static int openDescriptors()
    {
        return static_cast<int>(std::distance(
            std::filesystem::directory_iterator("/proc/self/fd"), std::filesystem::directory_iterator {}));
    }

    void idleConnectionsLeaveDescriptorsForOthers()
    {
        rlimit limit {};
        CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &limit));
        auto low = limit;
        low.rlim_cur = 40;
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &low));
        asio::io_context loop { 1 };
        HttpClient client(loop);
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limit));
        HttpServer server(loop, echo());
        CPPUNIT_ASSERT(server.listen("0.0.0.0:29317"));
        const auto before = openDescriptors();
        for (int host = 1; host <= 60; ++host) {
            auto done = false;
            client.call(
                hostAddress(host), { "POST", "/x", {}, {} }, Duration(1000), [&](const CallResult& result) {
                    CPPUNIT_ASSERT(result.delivery == DeliveryStatus::Answered);
                    done = true;
                });
            while (!done)
                loop.run_one();
        }
        loop.run_for(std::chrono::milliseconds(50)); // The server closes its ends too.
        CPPUNIT_ASSERT(openDescriptors() - before <= 2 * 20 + 1);
    }

    void aCallWithoutADescriptorClosesAnIdleConnection()
    {
        asio::io_context serverLoop { 1 };
        HttpServer server(serverLoop, echo());
        CPPUNIT_ASSERT(server.listen("0.0.0.0:29317"));
        std::thread serving([&] { serverLoop.run_for(std::chrono::seconds(5)); });
        Loop loop;
        loop.callTo(hostAddress(1), { "POST", "/x", {}, {} });
        rlimit limit {};
        CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &limit));
        auto low = limit;
        low.rlim_cur = 64;
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &low));
        std::vector<int> filler;
        for (auto next = dup(0); next >= 0; next = dup(0))
            filler.push_back(next);
        std::optional<DeliveryStatus> fate;
        loop.client.call(hostAddress(2), { "POST", "/x", {}, {} }, Duration(1000),
            [&](const CallResult& result) { fate = result.delivery; });
        for (const auto descriptor : filler)
            close(descriptor);
        CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limit));
        while (!fate) {
            loop.context.restart();
            loop.context.run_one_for(std::chrono::milliseconds(50));
        }
        serverLoop.stop();
        serving.join();
        CPPUNIT_ASSERT(fate == DeliveryStatus::Answered);
    }

    void failedConnectIsNotSent()
    {
        Loop loop;
        CPPUNIT_ASSERT(loop.call().delivery == DeliveryStatus::NotSent);
    }

    void timeoutAfterSendIsUnknown()
    {
        Loop loop;
        HttpServer server(loop.context, [](const HttpRequest&, const Respond&) {});
        CPPUNIT_ASSERT(server.listen(address));
        CPPUNIT_ASSERT(loop.call({}, Duration(50)).delivery == DeliveryStatus::Unknown);
    }

    void opensNewConnectionAfterTimeout()
    {
        Loop loop;
        auto silent = false;
        HttpServer server(loop.context, [&](const HttpRequest&, const Respond& respond) {
            if (!silent)
                respond({ 200, {}, {} });
        });
        CPPUNIT_ASSERT(server.listen(address));
        CPPUNIT_ASSERT(loop.call().delivery == DeliveryStatus::Answered);
        silent = true;
        CPPUNIT_ASSERT(loop.call({}, Duration(50)).delivery == DeliveryStatus::Unknown);
        silent = false;
        CPPUNIT_ASSERT(loop.call().delivery == DeliveryStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), loop.client.connectionsOpened());
    }

    void detectsClosedIdleConnection()
    {
        Loop loop;
        {
            HttpServer server(loop.context, echo());
            CPPUNIT_ASSERT(server.listen(address));
            CPPUNIT_ASSERT(loop.call().delivery == DeliveryStatus::Answered);
        }
        loop.context.run_for(std::chrono::milliseconds(30));
        HttpServer server(loop.context, echo());
        CPPUNIT_ASSERT(server.listen(address));
        CPPUNIT_ASSERT(loop.call("again").delivery == DeliveryStatus::Answered);
    }

    // Sends fixed bytes to the server and returns what it answers until it closes, for at most 300 ms.
    static std::string exchange(Loop& loop, const std::string& bytes)
    {
        tcp::socket socket(loop.context);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 29317));
        asio::write(socket, asio::buffer(bytes));
        std::string answer;
        std::array<char, 4096> chunk {};
        auto ended = false;
        std::function<void()> read = [&] {
            socket.async_read_some(
                asio::buffer(chunk), [&](const boost::system::error_code& failed, std::size_t size) {
                    answer.append(chunk.data(), size);
                    if (failed)
                        ended = true;
                    else
                        read();
                });
        };
        read();
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
        loop.context.restart();
        while (!ended && std::chrono::steady_clock::now() < until)
            loop.context.run_one_for(std::chrono::milliseconds(20));
        boost::system::error_code ignored;
        socket.close(ignored);
        loop.context.poll();
        return answer;
    }

    void decodesChunkedBodies()
    {
        Loop loop;
        HttpServer server(loop.context, echo());
        CPPUNIT_ASSERT(server.listen(address));
        const auto answer = exchange(loop,
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(answer.ends_with("abcde"));
    }

    void rejectsOversizedOrMalformedRequests()
    {
        Loop loop;
        HttpServer server(loop.context, echo());
        server.setLimits({ 200, 10, Duration(3000), Duration(3000) });
        CPPUNIT_ASSERT(server.listen(address));
        CPPUNIT_ASSERT(
            exchange(loop, "POST /x HTTP/1.1\r\nContent-Length: 11\r\n\r\n").starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT(
            exchange(loop, "GET /x HTTP/1.1\r\nA: " + std::string(300, 'a')).starts_with("HTTP/1.1 431"));
        CPPUNIT_ASSERT(exchange(loop, "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
                           .starts_with("HTTP/1.1 400"));
        // Two requests in one packet are both answered.
        const auto both
            = exchange(loop, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(both.find("HTTP/1.1 200") != both.rfind("HTTP/1.1 200"));
    }

    void drainAnswersOpenRequests()
    {
        Loop loop;
        Respond later;
        HttpServer server(
            loop.context, [&](const HttpRequest&, Respond respond) { later = std::move(respond); });
        CPPUNIT_ASSERT(server.listen(address));
        CallResult out;
        auto done = false;
        loop.client.call(address, { "GET", "/x", {}, {} }, Duration(1000), [&](CallResult result) {
            out = std::move(result);
            done = true;
        });
        while (!later) {
            loop.context.restart();
            loop.context.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.inProgress());
        server.drain();
        later({ 200, {}, "whole" });
        while (!done) {
            loop.context.restart();
            loop.context.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), out.response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), out.response.header("Connection"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.inProgress());
    }

    void aServerThatStopsAcceptingServesItsConnections()
    {
        Loop loop;
        HttpServer server(loop.context, echo());
        CPPUNIT_ASSERT(server.listen(address));
        CPPUNIT_ASSERT_EQUAL(200, loop.call("first").response.status);
        server.stopAccepting();
        CPPUNIT_ASSERT_EQUAL(200, loop.call("second").response.status);
        Loop other;
        CPPUNIT_ASSERT(other.call("third").delivery == DeliveryStatus::NotSent);
    }

    // Guards against an expired timer that fails the wrong call: after a delay of the loop, the answer and
    // the expired timer of one call are handled in the same iteration, and the next call has already started.
    void expiredTimerDoesNotFailLaterCall()
    {
        constexpr Duration timeout { 60 };
        asio::io_context serverLoop { 1 };
        HttpServer server(serverLoop, echo());
        CPPUNIT_ASSERT(server.listen(address));
        std::thread serving([&] { serverLoop.run_for(std::chrono::seconds(5)); });
        Loop loop;
        loop.call("first"); // Leaves an idle connection.
        std::optional<DeliveryStatus> late;
        std::optional<DeliveryStatus> next;
        const HttpRequest request { "POST", "/x", {}, "again" };
        loop.client.call(address, request, timeout, [&](const CallResult& result) {
            late = result.delivery;
            loop.client.call(
                address, request, Duration(2000), [&](const CallResult& second) { next = second.delivery; });
        });
        loop.context.restart();
        loop.context.run_one(); // Writes.
        std::this_thread::sleep_for(3 * timeout);
        while (!next)
            loop.context.run_one_for(std::chrono::milliseconds(50));
        serverLoop.stop();
        serving.join();
        CPPUNIT_ASSERT(late == DeliveryStatus::Answered);
        CPPUNIT_ASSERT(next == DeliveryStatus::Answered);
    }

    // Guards against sending a request after its deadline: the process is paused for longer than the call's
    // timeout while the connection is established.
    void nothingIsSentAfterTheDeadline()
    {
        constexpr Duration timeout { 60 };
        std::atomic<int> requests { 0 };
        asio::io_context serverLoop { 1 };
        HttpServer server(serverLoop, [&](const HttpRequest&, const Respond& respond) {
            ++requests;
            respond({ 200, {}, {} });
        });
        CPPUNIT_ASSERT(server.listen(address));
        std::thread serving([&] { serverLoop.run_for(std::chrono::seconds(5)); });
        Loop loop;
        std::optional<DeliveryStatus> delivery;
        loop.client.call(address, { "POST", "/order", {}, "start" }, timeout,
            [&](const CallResult& result) { delivery = result.delivery; });
        std::this_thread::sleep_for(3 * timeout);
        while (!delivery)
            loop.context.run_one_for(std::chrono::milliseconds(50));
        std::this_thread::sleep_for(timeout);
        serverLoop.stop();
        serving.join();
        CPPUNIT_ASSERT(delivery == DeliveryStatus::NotSent);
        CPPUNIT_ASSERT_EQUAL(0, requests.load());
    }

    void exceptionFailsOnlyItsRequest()
    {
        asio::io_context serverLoop { 1 };
        HttpServer server(serverLoop, [](const HttpRequest& request, const Respond& respond) {
            if (request.target == "/bad")
                throw std::out_of_range("unexpected");
            respond({ 200, {}, "served" });
        });
        CPPUNIT_ASSERT(server.listen(address));
        std::vector<std::string> failures;
        std::thread serving(
            [&] { runLoop(serverLoop, [&](const char* what) { failures.emplace_back(what); }); });
        Loop loop;
        const auto bad = exchange(loop, "GET /bad HTTP/1.1\r\n\r\n");
        const auto good = exchange(loop, "GET /good HTTP/1.1\r\n\r\n");
        serverLoop.stop();
        serving.join();
        CPPUNIT_ASSERT(bad.starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT(good.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), failures.size());
    }

    // A worker's id comes from another writer and is sent as a header.
    void aLineBreakInAHeaderIsNotSent()
    {
        Loop loop;
        auto requests = 0;
        HttpServer server(loop.context, [&](const HttpRequest&, const Respond& respond) {
            ++requests;
            respond({ 200, {}, {} });
        });
        CPPUNIT_ASSERT(server.listen(address));
        for (const auto& odd : { std::string("a\r\nX: y"), std::string("a\n"), std::string("a\r"),
                 std::string("a\r\n\r\nPOST /y HTTP/1.1\r\n"), std::string("a\0b", 3) }) {
            CPPUNIT_ASSERT(loop.callTo(address, { "POST", "/x", { { "K", odd } }, {} }).delivery
                == DeliveryStatus::NotSent);
            CPPUNIT_ASSERT(loop.callTo(address, { "POST", "/x", { { odd, "v" } }, {} }).delivery
                == DeliveryStatus::NotSent);
            CPPUNIT_ASSERT(
                loop.callTo(address, { "POST", '/' + odd, {}, {} }).delivery == DeliveryStatus::NotSent);
        }
        CPPUNIT_ASSERT_EQUAL(0, requests);
        CPPUNIT_ASSERT(loop.call("after").delivery == DeliveryStatus::Answered);
    }

    void aCallToAnUnusableAddressIsNotSent()
    {
        Loop loop;
        HttpServer server(loop.context, echo());
        CPPUNIT_ASSERT(server.listen(address));
        for (const auto* odd : { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000",
                 "127.0.0.1:94853", "127.0.0.1:29,317", "127.0.0.1: 29317", "127.0.0.1:+29317",
                 "localhost:29317", "0.0.0.0:29317", "127.0.0.1:4294996613", "::1%lo:29317" })
            CPPUNIT_ASSERT_MESSAGE(
                odd, loop.callTo(odd, { "POST", "/x", {}, {} }).delivery == DeliveryStatus::NotSent);
        CPPUNIT_ASSERT(loop.call("after").delivery == DeliveryStatus::Answered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NetTest);
