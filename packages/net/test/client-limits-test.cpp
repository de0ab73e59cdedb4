// Memory account, order of closing and chunk decoder on plain values, and a server whose limits are reached.
#include "chunk-decoder.h"
#include "jujubereach/net/http-server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace jujubereach;
using namespace jujubereach::net;
namespace asio = boost::asio;
using asio::ip::tcp;
using Status = net::detail::ChunkDecoder::Status;

class ClientLimitsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClientLimitsTest);
    CPPUNIT_TEST(largeRequestsLeaveMemoryToSmallOnes);
    CPPUNIT_TEST(aClientWithMoreThanItsPartWaitsForTheOthers);
    CPPUNIT_TEST(idleAddressesDoNotReduceTheParts);
    CPPUNIT_TEST(dividesLimitsAmongListeners);
    CPPUNIT_TEST(admitsTheLargestLegalRequest);
    CPPUNIT_TEST(idleConnectionsLeaveHalfOfAShare);
    CPPUNIT_TEST(fewDescriptorsServeAllPeers);
    CPPUNIT_TEST(aPendingHandlerOutlivesItsConnection);
    CPPUNIT_TEST(closesLeastProgressFirst);
    CPPUNIT_TEST(singleBytesAreNoProgress);
    CPPUNIT_TEST(newConnectionsDoNotDisplaceIdleOnes);
    CPPUNIT_TEST(newRequestsDoNotDisplaceIdleConnections);
    CPPUNIT_TEST(findsExpiredConnections);
    CPPUNIT_TEST(decodesChunksInAnyPieces);
    CPPUNIT_TEST(boundsChunkedBodies);
    CPPUNIT_TEST(stalledBodiesGiveWay);
    CPPUNIT_TEST(aClientOverItsPartLosesItsStalledBodies);
    CPPUNIT_TEST(chargesShortFieldsAsDecoded);
    CPPUNIT_TEST(refusesWithoutRunning);
    CPPUNIT_TEST(unreadResponsesGiveWay);
    CPPUNIT_TEST(aFullListenerAcceptsNewConnections);
    CPPUNIT_TEST(answersPipelinedAndChunkedRequestsInOrder);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint at(int milliseconds) { return TimePoint(Duration(milliseconds)); }

    // A flood of large bodies must not keep small requests from being read.
    void largeRequestsLeaveMemoryToSmallOnes()
    {
        MemoryShare share(1000);
        auto& client = share.join({ 1 });
        CPPUNIT_ASSERT(share.reserve(client, 750, true) == Reservation::Granted);
        CPPUNIT_ASSERT(share.reserve(client, 1, true) == Reservation::ShareFull);
        CPPUNIT_ASSERT(share.reserve(client, 250, false) == Reservation::Granted);
        CPPUNIT_ASSERT(share.reserve(client, 1, false) == Reservation::ShareFull);
        share.release(client, 1000);
        share.leave(client);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), share.held() + share.clients());
    }

    // One of several addresses must not take the memory of the others.
    void aClientWithMoreThanItsPartWaitsForTheOthers()
    {
        MemoryShare share(1000);
        auto& flood = share.join({ 1 });
        auto& other = share.join({ 2 });
        CPPUNIT_ASSERT(share.reserve(flood, 500, false) == Reservation::Granted);
        CPPUNIT_ASSERT(share.reserve(flood, 1, false) == Reservation::ClientOverPart);
        CPPUNIT_ASSERT(share.reserve(other, 500, false) == Reservation::Granted);
    }

    // Addresses that only keep connections open must not reduce what a busy address may hold.
    void idleAddressesDoNotReduceTheParts()
    {
        MemoryShare share(1'000'000);
        auto& busy = share.join({ 1 });
        for (std::uint64_t id = 2; id < 12; ++id)
            share.charge(share.join({ id }), 1536);
        CPPUNIT_ASSERT(share.reserve(busy, 490'000, false) == Reservation::Granted);
        CPPUNIT_ASSERT(share.reserve(busy, 9'000, false) == Reservation::Granted);
        CPPUNIT_ASSERT(share.reserve(busy, 2'000, false) == Reservation::ClientOverPart);
    }

    // A large configured body, or many peers, must not make each largest request fail without a flood.
    void admitsTheLargestLegalRequest()
    {
        MemoryShare share(100'000);
        share.admit(80'000);
        for (std::uint64_t id = 1; id < 4; ++id) {
            auto& peer = share.join({ id });
            share.join({ id + 10 });
            CPPUNIT_ASSERT(share.reserve(peer, 80'000, true) == Reservation::Granted);
        }
        share.admit(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100'000), share.limit());
    }

    // Idle connections are not closed for memory, so they must not fill a share where descriptors abound.
    void idleConnectionsLeaveHalfOfAShare()
    {
        const auto budget = divide({ 160U << 20U, 1'000'000 });
        for (const auto& bounds : { budget.callers, budget.hosts, budget.readiness, budget.metrics })
            CPPUNIT_ASSERT(bounds.maxConnections * 5632 <= bounds.memoryBytes / 2);
    }

    void dividesLimitsAmongListeners()
    {
        const auto budget = divide({ 160U << 20U, 4100 });
        CPPUNIT_ASSERT(budget.callers.maxConnections >= 2000);
        CPPUNIT_ASSERT(budget.callers.maxConnections + budget.hosts.maxConnections
                + budget.readiness.maxConnections + budget.metrics.maxConnections
            <= 3900 * 3 / 4);
        CPPUNIT_ASSERT(budget.callers.memoryBytes + budget.hosts.memoryBytes + budget.readiness.memoryBytes
                + budget.metrics.memoryBytes
            <= 40U << 20U);
    }

    // With the usual 1,024 descriptors the pooled connections of 31 peers must not displace each other.
    void fewDescriptorsServeAllPeers()
    {
        const auto budget = divide({ 160U << 20U, 1024 });
        CPPUNIT_ASSERT(budget.hosts.maxConnections >= std::size_t { 31 } * 4);
        const std::size_t outgoing
            = 155; // Three quarters of what is left to outgoing calls without the floor.
        CPPUNIT_ASSERT(200 + budget.callers.maxConnections + budget.hosts.maxConnections
                + budget.readiness.maxConnections + budget.metrics.maxConnections + outgoing
            <= 1024);
    }

    // A handler may respond after its connection, or the server, is gone; until then its connection must not
    // be closed for a new one.
    void aPendingHandlerOutlivesItsConnection()
    {
        asio::io_context loop { 1 };
        std::vector<Respond> pending;
        std::optional<HttpServer> server(
            std::in_place, loop,
            [&](HttpRequest&&, Respond respond) { pending.push_back(std::move(respond)); },
            ListenerBounds { 1'000'000, 2 });
        CPPUNIT_ASSERT(server->listen(address));
        const auto connect = [&] {
            tcp::socket socket(loop);
            socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 29327));
            asio::write(socket, asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
            loop.run_for(std::chrono::milliseconds(30));
            return socket;
        };
        auto first = connect();
        auto second = connect();
        auto third = connect();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), pending.size());
        const auto refused = static_cast<std::size_t>(CloseCause::ConnectionBound);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), server->figures().closed[refused]); // The third.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2),
            server->figures().connections[static_cast<std::size_t>(ConnectionState::Deciding)]);
        CPPUNIT_ASSERT(Host::receive(first).empty()); // Still open.
        pending[0]({ 200, {}, "late" });
        CPPUNIT_ASSERT(Host::receive(first).starts_with("HTTP/1.1 200"));
        second.close();
        loop.run_for(std::chrono::milliseconds(30));
        server.reset();
        pending[1]({ 200, {}, "nobody reads this" });
        loop.run_for(std::chrono::milliseconds(30));
        CPPUNIT_ASSERT(!pending.empty());
    }

    struct Table {
        ConnectionTable table;
        std::deque<ConnectionEntry> entries;

        ConnectionEntry& add(ConnectionState state, int now)
        {
            auto& entry = entries.emplace_back();
            table.add(entry, at(now));
            if (state != ConnectionState::Unused)
                table.enter(entry, state, at(now));
            return entry;
        }

        ConnectionEntry* closeOne(int now)
        {
            auto* entry = table.victimForConnection(at(now), 1);
            if (entry)
                table.remove(*entry);
            return entry;
        }

        ~Table()
        {
            for (auto& entry : entries) {
                if (entry.progressHook.is_linked())
                    table.remove(entry);
            }
        }
    };

    void closesLeastProgressFirst()
    {
        using enum ConnectionState;
        Table all;
        const auto& deciding = all.add(Deciding, 0);
        const auto& slow = all.add(Reading, 100);
        const auto& unread = all.add(Writing, 50);
        const auto& pipelined = all.add(Pipelined, 900);
        const auto& idle = all.add(Idle, 0);
        const auto& unused = all.add(Unused, 0);
        const auto& reading = all.add(Reading, 900);
        const auto& refused = all.add(Lingering, 900);
        CPPUNIT_ASSERT(all.table.victimForMemory(at(1000)) == &unread);
        for (const auto* expected : { &refused, &slow, &unread, &unused, &pipelined, &idle, &reading })
            CPPUNIT_ASSERT(all.closeOne(1000) == expected);
        CPPUNIT_ASSERT(!all.closeOne(1000)); // Never one that is being decided.
        CPPUNIT_ASSERT(!all.table.victimForMemory(at(1000)));
        CPPUNIT_ASSERT(deciding.state == Deciding);
    }

    // A client that sends a byte now and then must not look alive.
    void singleBytesAreNoProgress()
    {
        Table all;
        auto& trickle = all.add(ConnectionState::Reading, 0);
        auto& steady = all.add(ConnectionState::Reading, 0);
        for (int now = 100; now <= 600; now += 100) {
            all.table.progress(trickle, 1, at(now));
            all.table.progress(steady, ConnectionTable::requestProgress, at(now));
        }
        CPPUNIT_ASSERT(all.table.victimForMemory(at(600)) == &trickle);
        all.table.remove(trickle);
        CPPUNIT_ASSERT(!all.table.victimForMemory(at(600)));
    }

    // Connections that are opened at a high rate and send nothing must not close those of ordinary callers.
    void newConnectionsDoNotDisplaceIdleOnes()
    {
        Table all;
        all.add(ConnectionState::Idle, 0);
        const auto& first = all.add(ConnectionState::Unused, 990);
        all.add(ConnectionState::Unused, 995);
        CPPUNIT_ASSERT(all.closeOne(1000) == &first);
    }

    // One byte per new connection must not change that.
    void newRequestsDoNotDisplaceIdleConnections()
    {
        Table all;
        all.add(ConnectionState::Idle, 0);
        const auto& first = all.add(ConnectionState::Reading, 990);
        all.add(ConnectionState::Reading, 995);
        CPPUNIT_ASSERT(all.closeOne(1000) == &first);
    }

    void findsExpiredConnections()
    {
        Table all;
        ConnectionTimeouts timeouts;
        auto& request = all.add(ConnectionState::Reading, 0);
        const auto& idle = all.add(ConnectionState::Idle, 0);
        all.table.progress(request, 1U << 20U, at(2900)); // Progress does not extend a request's time.
        CPPUNIT_ASSERT(!all.table.expired(at(2999), timeouts));
        CPPUNIT_ASSERT(all.table.earliestDeadline(timeouts) == at(3000));
        CPPUNIT_ASSERT(all.table.expired(at(3000), timeouts) == &request);
        all.table.enter(request, ConnectionState::Deciding, at(3000));
        CPPUNIT_ASSERT(!all.table.expired(at(14'999), timeouts));
        CPPUNIT_ASSERT(all.table.expired(at(15'000), timeouts) == &idle);
    }

    static Status decode(
        const std::string& bytes, std::size_t piece, std::string& body, std::size_t& used, std::size_t most)
    {
        net::detail::ChunkDecoder decoder(most);
        auto status = Status::Incomplete;
        used = 0;
        while (status == Status::Incomplete && used < bytes.size()) {
            std::size_t consumed = 0;
            status = decoder.decode(std::string_view(bytes).substr(used, piece), body, consumed);
            used += consumed;
        }
        return status;
    }

    void decodesChunksInAnyPieces()
    {
        const std::string chunked = "3\r\nabc\r\n00A;x=y\r\n0123456789\r\n0\r\nT: v\r\n\r\n";
        for (std::size_t piece = 1; piece <= chunked.size() + 4; ++piece) {
            std::string body;
            std::size_t used = 0;
            CPPUNIT_ASSERT(decode(chunked + "next", piece, body, used, 100) == Status::Complete);
            CPPUNIT_ASSERT_EQUAL(std::string("abc0123456789"), body);
            CPPUNIT_ASSERT_EQUAL(chunked.size(), used);
        }
        for (const auto* malformed : { "zz\r\n", "\r\n", "1\n", "1\r\nabc", "123456789\r\n", "0\r\n\rx" }) {
            std::string body;
            std::size_t used = 0;
            CPPUNIT_ASSERT_MESSAGE(malformed, decode(malformed, 1, body, used, 100) == Status::Malformed);
        }
    }

    // Neither the data nor its framing may exceed the limit; the data must not be waited for.
    void boundsChunkedBodies()
    {
        std::string body;
        std::size_t used = 0;
        CPPUNIT_ASSERT(decode("65\r\n", 1, body, used, 100) == Status::TooLarge);
        CPPUNIT_ASSERT(decode("ffffffff\r\n", 1, body, used, 100) == Status::TooLarge);
        CPPUNIT_ASSERT(decode("1;" + std::string(2000, 'x'), 7, body, used, 100) == Status::TooLarge);
        CPPUNIT_ASSERT(
            decode("0\r\n" + std::string(2000, 'x') + "\r\n", 7, body, used, 100) == Status::TooLarge);
        CPPUNIT_ASSERT(body.empty());
    }

    static constexpr auto address = "127.0.0.1:29327";

    struct Host {
        asio::io_context loop { 1 };
        std::vector<std::string> reached;
        std::vector<std::string> run;
        std::size_t responseBytes = 0;
        HttpServer server;

        explicit Host(ListenerBounds bounds)
            : server(
                loop,
                [this](HttpRequest&& request, const Respond& respond) {
                    run.push_back(request.target);
                    respond({ 200, {}, request.body.substr(0, 10) + std::string(responseBytes, 'x') });
                },
                bounds, [this](const char* cause) { reached.emplace_back(cause); })
        {
            CPPUNIT_ASSERT(server.listen(address));
        }

        void runFor(int milliseconds) { loop.run_for(std::chrono::milliseconds(milliseconds)); }

        tcp::socket send(const std::string& bytes, const char* from = "127.0.0.1")
        {
            tcp::socket socket(loop, tcp::endpoint(asio::ip::make_address(from), 0));
            socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 29327));
            asio::write(socket, asio::buffer(bytes));
            runFor(30);
            return socket;
        }

        static std::string receive(tcp::socket& socket)
        {
            std::string out(8192, '\0');
            boost::system::error_code failed;
            socket.non_blocking(true);
            out.resize(socket.read_some(asio::buffer(out), failed));
            return failed == asio::error::eof ? "end" : out;
        }

        std::uint64_t closed(CloseCause cause) const
        {
            return server.figures().closed[static_cast<std::size_t>(cause)];
        }
    };

    static std::string post(const char* target, std::size_t declared, std::size_t sent)
    {
        return std::string("POST ") + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(declared)
            + "\r\n\r\n" + std::string(sent, 'b');
    }

    // Bodies that stop short of their end must not keep the memory from requests that are sent completely.
    void stalledBodiesGiveWay()
    {
        Host host({ 100'000, 100 });
        auto stalled = host.send(post("/stalled", 60'000, 59'990));
        host.runFor(ConnectionTable::stallTime.count() + 50);
        auto whole = host.send(post("/whole", 20'000, 20'000));
        CPPUNIT_ASSERT(Host::receive(whole).starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(host.run == std::vector<std::string> { "/whole" });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), host.closed(CloseCause::MemoryBound));
        CPPUNIT_ASSERT(host.reached == std::vector<std::string> { "memory-bound" });
    }

    // Stalled bodies behind a load balancer must not make the server refuse all its other requests.
    void aClientOverItsPartLosesItsStalledBodies()
    {
        Host host({ 100'000, 100 });
        auto other = host.send("G", "127.0.0.2");
        auto stalled = host.send(post("/stalled", 30'000, 10));
        host.runFor(ConnectionTable::stallTime.count() + 50);
        auto whole = host.send(post("/whole", 10'000, 10'000));
        CPPUNIT_ASSERT(Host::receive(whole).starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), host.closed(CloseCause::MemoryBound));
        CPPUNIT_ASSERT(Host::receive(other).empty()); // Still open.
    }

    // A field of four bytes takes two strings once it is decoded.
    void chargesShortFieldsAsDecoded()
    {
        Host host({ 100'000, 100 });
        constexpr std::size_t fields = 60;
        std::string head = "POST / HTTP/1.1\r\nContent-Length: 9\r\n";
        for (std::size_t i = 0; i < fields; ++i)
            head += "a:\r\n";
        auto client = host.send(head + "\r\n");
        CPPUNIT_ASSERT(host.server.figures().heldBytes >= 1536 + fields * sizeof(Headers::value_type));
    }

    // A refusal for lack of memory tells the client that the request has not run, and when to repeat it.
    void refusesWithoutRunning()
    {
        Host host({ 100'000, 100 });
        auto first = host.send(post("/first", 60'000, 100));
        auto second = host.send(post("/second", 60'000, 60'000));
        const auto answer = Host::receive(second);
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answer.find("Retry-After: 1\r\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string("end"), Host::receive(second));
        auto fields = host.send("GET / HTTP/1.1\r\n" + std::string(300, '\n'));
        CPPUNIT_ASSERT(Host::receive(fields).starts_with("HTTP/1.1 431"));
        CPPUNIT_ASSERT(host.run.empty());
        auto small = host.send("GET /small HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(Host::receive(small).starts_with("HTTP/1.1 200"));
    }

    // Clients that pipeline requests and do not read must hold neither memory nor the attention of the loop.
    void unreadResponsesGiveWay()
    {
        Host host({ 5'000'000, 100 });
        host.responseBytes = 4'000'000; // More than the kernel takes.
        std::string requests;
        for (int i = 0; i < 50; ++i)
            requests += "GET /unread HTTP/1.1\r\n\r\n";
        auto first = host.send(requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), host.run.size());
        auto second = host.send(requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), host.run.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), host.closed(CloseCause::MemoryBound));
        CPPUNIT_ASSERT(host.server.figures().heldBytes < 5'000'000);
        second.close();
        host.runFor(30);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), host.server.figures().heldBytes);
    }

    void aFullListenerAcceptsNewConnections()
    {
        Host host({ 1'000'000, 4 });
        std::vector<tcp::socket> open;
        open.reserve(8);
        for (int i = 0; i < 8; ++i)
            open.push_back(host.send("GET /never-complete HTTP/1.1\r\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), host.closed(CloseCause::ConnectionBound));
        auto ordinary = host.send("GET /ordinary HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT(Host::receive(ordinary).starts_with("HTTP/1.1 200"));
    }

    // Surplus bytes of one read belong to the next request, also after a chunked body.
    void answersPipelinedAndChunkedRequestsInOrder()
    {
        Host host({ 1'000'000, 4 });
        auto socket = host.send("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na");
        asio::write(socket, asio::buffer("b\r\n0\r\n\r\n" + post("/2", 3, 3) + "GET /3 HTTP/1.1\r\n\r\n"));
        host.runFor(30);
        const auto answers = Host::receive(socket);
        CPPUNIT_ASSERT((host.run == std::vector<std::string> { "/1", "/2", "/3" }));
        CPPUNIT_ASSERT(answers.find("\r\n\r\nabHTTP/1.1 200") != std::string::npos);
        CPPUNIT_ASSERT(answers.find("\r\n\r\nbbbHTTP/1.1 200") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientLimitsTest);
