// Members over a virtual network: joins, deaths, pauses, partitions; owners and delegates.
#include "virtual-network.h"

#include "jujubereach/membership/delegates.h"
#include "jujubereach/membership/ownership.h"
#include "jujubereach/membership/relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace jujubereach;
using namespace jujubereach::membership;
using namespace std::chrono_literals;

namespace {

std::vector<HostId> ids(std::size_t count, const std::set<std::size_t>& without = {})
{
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        if (!without.contains(i))
            hosts.emplace_back("h" + std::to_string(i));
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

} // namespace

class MembersTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MembersTest);
    CPPUNIT_TEST(hostsFindEachOther);
    CPPUNIT_TEST(killedHostIsRemovedWithinSeconds);
    CPPUNIT_TEST(refusedConnectionShortensDetection);
    CPPUNIT_TEST(leavingHostOwnsNothingAndIsNotSuspected);
    CPPUNIT_TEST(frozenHostComesBackAsItself);
    CPPUNIT_TEST(pausedHostRemovesNobody);
    CPPUNIT_TEST(olderIncarnationIsSuperseded);
    CPPUNIT_TEST(laterStartWithLowerNumberWins);
    CPPUNIT_TEST(halvesAgreeAfterHeal);
    CPPUNIT_TEST(lossRemovesNobody);
    CPPUNIT_TEST_SUITE_END();

    void hostsFindEachOther()
    {
        for (std::size_t count : { 1, 2, 6, 40 }) {
            VirtualNetwork network({}, count);
            network.startAll(count);
            network.run(5s);
            CPPUNIT_ASSERT(network.allViewsAre(ids(count)));
        }
    }

    void killedHostIsRemovedWithinSeconds()
    {
        for (std::size_t count : { 2, 6, 40 }) {
            VirtualNetwork network({}, count);
            network.startAll(count);
            network.run(10s);
            network.kill("h1");
            network.run(4s);
            CPPUNIT_ASSERT(network.allViewsAre(ids(count, { 1 })));
        }
    }

    void refusedConnectionShortensDetection()
    {
        VirtualNetwork network({}, 3);
        network.startAll(40);
        network.run(10s);
        network.kill("h1");
        network.members("h2").onUnreachable(HostId("h1"), network.now());
        network.run(2200ms);
        CPPUNIT_ASSERT(network.allViewsAre(ids(40, { 1 })));
    }

    void leavingHostOwnsNothingAndIsNotSuspected()
    {
        VirtualNetwork network({}, 4);
        network.startAll(6);
        network.run(5s);
        network.members("h2").leave();
        network.run(500ms);
        CPPUNIT_ASSERT(network.allViewsAre(ids(6, { 2 })));
        network.run(20s);
        CPPUNIT_ASSERT(network.members("h0").find(HostId("h2"))->update.state == MemberState::Leaving);
        network.send("h2", network.members("h2").depart(network.now()));
        network.kill("h2");
        network.run(100ms);
        CPPUNIT_ASSERT(network.members("h0").find(HostId("h2"))->update.state == MemberState::Dead);
    }

    void frozenHostComesBackAsItself()
    {
        VirtualNetwork network({}, 5);
        network.startAll(6);
        network.run(5s);
        network.freeze("h3");
        network.run(10s);
        CPPUNIT_ASSERT(network.allViewsAre(ids(6, { 3 })));
        network.resume("h3");
        network.run(1s);
        CPPUNIT_ASSERT(network.allViewsAre(ids(6)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1003), network.members("h3").self().incarnation.value);
    }

    // With the gap unnoticed the same pause ends in removals, which shows what the check is for.
    void pausedHostRemovesNobody()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), removalsAfterPause(MembersSettings().pauseGap));
        CPPUNIT_ASSERT(removalsAfterPause(1h) > 0);
    }

    static std::size_t removalsAfterPause(Duration pauseGap)
    {
        NetworkSettings settings;
        settings.members.pauseGap = pauseGap;
        VirtualNetwork network(settings, 6);
        network.startAll(6);
        network.run(5s);
        network.linked
            = [](const std::string& from, const std::string& to) { return from != "h0" && to != "h0"; };
        network.run(1200ms);
        network.freeze("h0");
        network.run(10s);
        network.members("h0").takeChanges();
        // The first thing that it runs is its timer, with suspicions from before the pause.
        network.resume("h0");
        network.run(100ms);
        auto changes = network.members("h0").takeChanges();
        return static_cast<std::size_t>(std::count_if(changes.begin(), changes.end(),
            [](const MemberChange& change) { return change.after == MemberState::Dead; }));
    }

    void olderIncarnationIsSuperseded()
    {
        VirtualNetwork network({}, 7);
        network.startAll(6);
        network.run(5s);
        network.freeze("h3");
        network.run(5s);
        network.start("h3-new", 9000, { "h0", "h1" }, "h3");
        network.run(2s);
        network.resume("h3");
        network.run(1s);
        CPPUNIT_ASSERT(network.members("h3").superseded());
        CPPUNIT_ASSERT(!network.members("h3-new").superseded());
        network.run(5s);
        CPPUNIT_ASSERT_EQUAL(
            Incarnation { 9000 }, network.members("h0").find(HostId("h3"))->update.incarnation);
    }

    void laterStartWithLowerNumberWins()
    {
        VirtualNetwork network({}, 8);
        network.startAll(6);
        network.run(5s);
        network.kill("h3");
        network.start("h3", 7, { "h0", "h1" });
        network.run(5s);
        CPPUNIT_ASSERT(!network.members("h3").superseded());
        CPPUNIT_ASSERT(network.members("h3").self().incarnation.value > 1003);
        CPPUNIT_ASSERT(network.allViewsAre(ids(6)));
    }

    void halvesAgreeAfterHeal()
    {
        for (std::uint64_t seed = 0; seed < 10; ++seed) {
            VirtualNetwork network({}, seed);
            network.startAll(12);
            network.run(5s);
            auto side = [](const std::string& address) { return address.back() % 2; };
            network.linked
                = [side](const std::string& from, const std::string& to) { return side(from) == side(to); };
            network.run(20s);
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), network.members("h0").live().size());
            network.linked = [](const std::string&, const std::string&) { return true; };
            network.run(10s);
            CPPUNIT_ASSERT(network.allViewsAre(ids(12)));
        }
    }

    void lossRemovesNobody()
    {
        NetworkSettings settings;
        settings.loss = 0.1;
        VirtualNetwork network(settings, 9);
        network.startAll(20);
        network.run(10s);
        for (auto& [address, host] : network.hosts())
            host.members->takeChanges();
        network.run(120s);
        for (auto& [address, host] : network.hosts())
            CPPUNIT_ASSERT(host.members->takeChanges().empty());
        CPPUNIT_ASSERT(network.allViewsAre(ids(20)));
    }
};

class OwnershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OwnershipTest);
    CPPUNIT_TEST(onlyDomainsOfTheLostHostMove);
    CPPUNIT_TEST(domainsAreSpread);
    CPPUNIT_TEST(atMostOneMajority);
    CPPUNIT_TEST(delegatesAreTwoAndStable);
    CPPUNIT_TEST(relaysReachEveryHostOnce);
    CPPUNIT_TEST(digestsGoToOtherZonesInTurn);
    CPPUNIT_TEST_SUITE_END();

    void onlyDomainsOfTheLostHostMove()
    {
        for (int i = 0; i < 200; ++i) {
            DomainId domain("d" + std::to_string(i));
            auto before = preferredOwner(ids(8), ZoneId("z"), domain);
            auto after = preferredOwner(ids(8, { 3 }), ZoneId("z"), domain);
            CPPUNIT_ASSERT(before == after || before == HostId("h3"));
        }
    }

    void domainsAreSpread()
    {
        std::map<HostId, int> owned;
        for (int i = 0; i < 800; ++i)
            ++owned[*preferredOwner(ids(8), ZoneId("z"), DomainId("d" + std::to_string(i)))];
        for (const auto& [host, count] : owned)
            CPPUNIT_ASSERT(count > 60 && count < 140);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), owned.size());
    }

    // Every way to split up to 9 workers between two holders.
    void atMostOneMajority()
    {
        for (std::size_t workers = 1; workers <= 9; ++workers) {
            for (unsigned split = 0; split < (1u << workers); ++split) {
                std::vector<bool> mine(workers);
                std::vector<bool> theirs(workers);
                for (std::size_t i = 0; i < workers; ++i) {
                    mine[i] = (split >> i) & 1;
                    theirs[i] = !mine[i];
                }
                CPPUNIT_ASSERT(isMajority(mine) != isMajority(theirs));
            }
        }
        CPPUNIT_ASSERT(!isMajority({}));
    }

    void delegatesAreTwoAndStable()
    {
        auto delegates = chooseDelegates(ids(8), ZoneId("z"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), delegates.size());
        auto rest = ids(8);
        std::erase(rest, delegates[0]);
        CPPUNIT_ASSERT_EQUAL(delegates[1], chooseDelegates(rest, ZoneId("z"))[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chooseDelegates(ids(1), ZoneId("z")).size());
    }

    void relaysReachEveryHostOnce()
    {
        for (std::size_t count : { 1, 2, 3, 8, 27, 300 }) {
            std::multiset<HostId> reached;
            for (const auto& host : chooseDelegates(ids(count), ZoneId("z")))
                reached.insert(host);
            for (const auto& host : ids(count)) {
                for (const auto& target : relayTargets(ids(count), ZoneId("z"), host, 7))
                    reached.insert(target);
            }
            auto all = ids(count);
            CPPUNIT_ASSERT(std::multiset<HostId>(all.begin(), all.end()) == reached);
        }
    }

    void digestsGoToOtherZonesInTurn()
    {
        ZoneLinks links(ZoneId("a"), {}, 1);
        links.setContacts(ZoneId("b"), { "b1", "b2" });
        ZoneDigest own { ZoneId("a"), 7, 2, 0, {}, false };
        TimePoint now {};
        std::set<std::string> addresses;
        for (int i = 0; i < 10; ++i, now += 2s) {
            CPPUNIT_ASSERT(links.tick(own, false, now).empty());
            for (const auto& outgoing : links.tick(own, true, now))
                addresses.insert(outgoing.address);
            CPPUNIT_ASSERT(links.tick(own, true, now + 1s).empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), addresses.size());
        CPPUNIT_ASSERT(links.cutOff(ZoneId("b"), now));
        ZoneDigest theirs { ZoneId("b"), 9, 2, 0, { { HostId("b2"), "b2" } }, false };
        CPPUNIT_ASSERT(links.onDigest(theirs, now));
        theirs.answer = true;
        CPPUNIT_ASSERT(!links.onDigest(theirs, now));
        CPPUNIT_ASSERT(!links.cutOff(ZoneId("b"), now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembersTest);
CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);
