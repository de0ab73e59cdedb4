// Values keep every field on the wire.
#include "cluster-messages.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::daemon;

class MessagesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MessagesTest);
    CPPUNIT_TEST(digestSurvives);
    CPPUNIT_TEST(gossipSurvives);
    CPPUNIT_TEST_SUITE_END();

    // Without `answer`, two zones answered each other's digests for ever: 2.8 MB/s for each host.
    void digestSurvives()
    {
        membership::ZoneDigest digest;
        digest.zone = ZoneId("z1");
        digest.manifestCounter = 7;
        digest.members = 3;
        digest.view = 99;
        digest.delegates = { { HostId("h1"), "127.0.0.1:1" } };
        digest.answer = true;
        const auto copy = fromWire(toWire(digest));
        CPPUNIT_ASSERT_EQUAL(digest.zone, copy.zone);
        CPPUNIT_ASSERT_EQUAL(digest.manifestCounter, copy.manifestCounter);
        CPPUNIT_ASSERT_EQUAL(digest.members, copy.members);
        CPPUNIT_ASSERT_EQUAL(digest.view, copy.view);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), copy.delegates.size());
        CPPUNIT_ASSERT_EQUAL(HostId("h1"), copy.delegates[0].id);
        CPPUNIT_ASSERT(copy.answer);
    }

    void gossipSurvives()
    {
        membership::Message message;
        message.kind = membership::MessageKind::PingRequest;
        message.zone = ZoneId("z1");
        message.from = HostId("h1");
        message.incarnation = { 5 };
        message.sequence = 6;
        message.leaving = true;
        message.to = HostId("h2");
        message.probe = 8;
        message.subject = HostId("h3");
        message.view = 9;
        message.manifestCounter = 10;
        message.updates
            = { { HostId("h3"), { 11 }, 12, membership::MemberState::Dead, "127.0.0.1:1", "127.0.0.1:2" } };
        const auto copy = fromWire(toWire(message));
        CPPUNIT_ASSERT(copy.kind == message.kind && copy.zone == message.zone && copy.from == message.from);
        CPPUNIT_ASSERT(copy.incarnation == message.incarnation && copy.sequence == message.sequence);
        CPPUNIT_ASSERT(copy.leaving && copy.to == message.to && copy.probe == message.probe);
        CPPUNIT_ASSERT(copy.subject == message.subject && copy.view == message.view);
        CPPUNIT_ASSERT(copy.manifestCounter == message.manifestCounter && copy.updates == message.updates);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);
