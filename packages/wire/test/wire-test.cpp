// Frames and calls between hosts; a malformed frame closes only its own connection.
#include "jujubereach/wire/peers.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <mutex>

using namespace jujubereach;
using namespace jujubereach::wire;

namespace {

EnvelopeT showJob(const std::string& id)
{
    ApiCallT call;
    call.operation = ApiOperation::ShowJob;
    call.id = id;
    EnvelopeT envelope;
    envelope.host = "h1";
    envelope.body = bodyOf(std::move(call));
    return envelope;
}

std::string freeAddress()
{
    Poco::Net::ServerSocket probe(Poco::Net::SocketAddress("127.0.0.1", 0));
    return probe.address().toString();
}

// Runs posted functions immediately and mutually exclusively, in place of a control thread.
class InlineControl {
public:
    PeersHooks hooks(std::function<void(EnvelopeT&, Responder)> onCall)
    {
        PeersHooks hooks;
        hooks.post = [this](const std::function<void()>& f) { run(f); };
        hooks.postAfter = [](Duration, const std::function<void()>&) {};
        hooks.onCall = std::move(onCall);
        return hooks;
    }

    void run(const std::function<void()>& f)
    {
        std::lock_guard lock(m_mutex);
        f();
    }

private:
    std::recursive_mutex m_mutex;
};

std::shared_ptr<Peers> openPeers(const std::string& address, PeersHooks hooks)
{
    LocalHost self { HostId("h"), Incarnation { 1 }, ZoneId("z") };
    auto peers = outcomeOf([&] { return Peers::open(address, self, {}, std::move(hooks)); });
    CPPUNIT_ASSERT(peers);
    return *peers.value;
}

} // namespace

class WireTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(frameRoundTrips);
    CPPUNIT_TEST(partialFrameIsBuffered);
    CPPUNIT_TEST(wrongVersionIsRefused);
    CPPUNIT_TEST(hugeLengthIsRefused);
    CPPUNIT_TEST(damagedMessageIsRefused);
    CPPUNIT_TEST(callIsAnswered);
    CPPUNIT_TEST(closedPeerEndsTheCall);
    CPPUNIT_TEST(badFrameClosesOnlyItsConnection);
    CPPUNIT_TEST_SUITE_END();

    void frameRoundTrips()
    {
        FrameReader reader;
        const auto frame = encodeFrame(showJob("j1"));
        reader.append(frame.data(), frame.size());
        auto message = outcomeOf([&] { return reader.next(); });
        CPPUNIT_ASSERT(message && *message.value);
        CPPUNIT_ASSERT_EQUAL(std::string("j1"), (*message.value)->body.AsApiCall()->id);
    }

    void partialFrameIsBuffered()
    {
        FrameReader reader;
        const auto frame = encodeFrame(showJob("j1"));
        for (std::size_t i = 0; i + 1 < frame.size(); ++i) {
            reader.append(&frame[i], 1);
            auto message = outcomeOf([&] { return reader.next(); });
            CPPUNIT_ASSERT(message && !*message.value);
        }
        reader.append(&frame.back(), 1);
        CPPUNIT_ASSERT(*outcomeOf([&] { return reader.next(); }).value);
    }

    void wrongVersionIsRefused()
    {
        auto frame = encodeFrame(showJob("j1"));
        frame[5] = 99;
        assertRefused(frame);
    }

    void hugeLengthIsRefused()
    {
        auto frame = encodeFrame(showJob("j1"));
        frame[0] = 0x7f;
        assertRefused(frame);
    }

    void damagedMessageIsRefused()
    {
        auto frame = encodeFrame(showJob("j1"));
        for (std::size_t i = frameHeaderBytes; i < frame.size(); ++i)
            frame[i] = static_cast<char>(0xff);
        assertRefused(frame);
    }

    void callIsAnswered()
    {
        InlineControl control;
        const auto address = freeAddress();
        auto server = openPeers(address, control.hooks([](EnvelopeT& envelope, const Responder& respond) {
            ApiReplyT reply;
            reply.status = 200;
            reply.document = envelope.body.AsApiCall()->id + " runs";
            respond(bodyOf(std::move(reply)));
        }));
        auto client = openPeers(freeAddress(), control.hooks([](EnvelopeT&, const Responder&) {}));

        const auto result = callAndWait(control, *client, address);
        CPPUNIT_ASSERT(result.status == CallStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("j1 runs"), result.reply->body.AsApiReply()->document);
    }

    void closedPeerEndsTheCall()
    {
        InlineControl control;
        auto client = openPeers(freeAddress(), control.hooks([](EnvelopeT&, const Responder&) {}));
        CPPUNIT_ASSERT(callAndWait(control, *client, freeAddress()).status != CallStatus::Answered);
    }

    void badFrameClosesOnlyItsConnection()
    {
        InlineControl control;
        const auto address = freeAddress();
        auto server = openPeers(address,
            control.hooks([](EnvelopeT&, const Responder& respond) { respond(bodyOf(AcceptedT())); }));
        auto client = openPeers(freeAddress(), control.hooks([](EnvelopeT&, const Responder&) {}));
        CPPUNIT_ASSERT(callAndWait(control, *client, address).status == CallStatus::Answered);

        Poco::Net::StreamSocket stranger { Poco::Net::SocketAddress(address) };
        const std::string garbage(100, 'x');
        stranger.sendBytes(garbage.data(), static_cast<int>(garbage.size()));
        char buf[16];
        CPPUNIT_ASSERT_EQUAL(0, stranger.receiveBytes(buf, sizeof buf));
        CPPUNIT_ASSERT(callAndWait(control, *client, address).status == CallStatus::Answered);
    }

    static void assertRefused(const std::string& frame)
    {
        FrameReader reader;
        reader.append(frame.data(), frame.size());
        CPPUNIT_ASSERT(!outcomeOf([&] { return reader.next(); }));
    }

    static CallResult callAndWait(InlineControl& control, Peers& peers, const std::string& address)
    {
        auto promise = std::make_shared<std::promise<CallResult>>();
        auto future = promise->get_future();
        auto envelope = showJob("j1");
        // Peers is single-threaded: a reply must not be handled before call() has registered it.
        control.run([&] {
            peers.call(address, std::move(envelope.body), Duration(60'000),
                [promise](CallResult result) { promise->set_value(std::move(result)); });
        });
        return future.get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);
