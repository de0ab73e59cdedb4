// The adapters against the stand-ins' services, under the stand-ins' switches.
#include "jujubereach/platform/hosts.h"
#include "jujubereach/platform/kv.h"
#include "jujubereach/platform/upstream.h"
#include "jujubereach/platform/worker.h"
#include "platform-service.h"
#include "upstream-service.h"
#include "worker-service.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace jujubereach;
using namespace jujubereach::platform;
using namespace jujubereach::standins;

namespace {

constexpr Duration timeout { 1000 };

void control(const std::string& address, const std::string& body)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
    Poco::Net::HTTPRequest request("POST", "/control", "HTTP/1.1");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(response.getStatus()));
}

std::string record(const std::string& address)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
    Poco::Net::HTTPRequest request("GET", "/record", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    return text;
}

UpstreamCall callOf(const std::string& id)
{
    return { RequestId(id), WorkspaceId("w"), ClassId("c"), timeout, "body-" + id };
}

UpstreamOptions upstreamOptions()
{
    UpstreamOptions options;
    options.id = "u1";
    options.zone = "z";
    return options;
}

} // namespace

class StandinsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StandinsTest);
    CPPUNIT_TEST(compareAndSwapTakesOneWriter);
    CPPUNIT_TEST(listAndWatchGoByPrefix);
    CPPUNIT_TEST(largeValueSurvives);
    CPPUNIT_TEST(lostReplyTakesEffect);
    CPPUNIT_TEST(outageEndsWaitingWatch);
    CPPUNIT_TEST(cutCallerAloneIsRefused);
    CPPUNIT_TEST(writesAboveLimitAreRefused);
    CPPUNIT_TEST(hostListLags);
    CPPUNIT_TEST(workerRunsTask);
    CPPUNIT_TEST(deadWorkerIsUnreachable);
    CPPUNIT_TEST(upstreamAnswersOwnRequest);
    CPPUNIT_TEST(upstreamSaysWhyItDidNotRun);
    CPPUNIT_TEST(upstreamCutsAnswersShort);
    CPPUNIT_TEST(swappedAnswerIsNotTaken);
    CPPUNIT_TEST_SUITE_END();

    void compareAndSwapTakesOneWriter()
    {
        PlatformService service({});
        auto kv = httpKvService(service.address(), timeout, "h");
        auto first = kv.compareAndSwap("a/b", "1", {});
        CPPUNIT_ASSERT(first.status == KvStatus::Ok);
        auto second = kv.compareAndSwap("a/b", "2", {});
        CPPUNIT_ASSERT(second.status == KvStatus::Conflict);
        CPPUNIT_ASSERT(second.revision == first.revision);
        CPPUNIT_ASSERT(kv.compareAndSwap("a/b", "3", first.revision).status == KvStatus::Ok);
        auto read = kv.get("a/b");
        CPPUNIT_ASSERT_EQUAL(std::string("3"), read.entries.at(0).value);
        CPPUNIT_ASSERT(kv.remove("a/b", first.revision).status == KvStatus::Conflict);
        CPPUNIT_ASSERT(kv.remove("a/b", read.revision).status == KvStatus::Ok);
        CPPUNIT_ASSERT(kv.get("a/b").status == KvStatus::NotFound);
        CPPUNIT_ASSERT(kv.compareAndSwap("a/b", "4", {}).status == KvStatus::Ok);
    }

    void listAndWatchGoByPrefix()
    {
        PlatformService service({});
        auto kv = httpKvService(service.address(), timeout, "h");
        kv.compareAndSwap("x/1", std::string("a\0b", 3), {});
        kv.compareAndSwap("y/1", "other", {});
        auto list = kv.list("x/");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), list.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3), list.entries.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), list.revision.value);
        std::thread writer([&] { kv.compareAndSwap("x/2", "new", {}); });
        auto watch = kv.watch("x/", list.revision, Duration(5000));
        writer.join();
        CPPUNIT_ASSERT_EQUAL(std::string("x/2"), watch.entries.at(0).key);
        CPPUNIT_ASSERT(kv.watch("x/", watch.revision, Duration(50)).entries.empty());
    }

    void largeValueSurvives()
    {
        PlatformService service({});
        auto kv = httpKvService(service.address(), timeout, "h");
        const std::string value(maxValueBytes, '\xfe');
        CPPUNIT_ASSERT(kv.compareAndSwap("k", value, {}).status == KvStatus::Ok);
        CPPUNIT_ASSERT(kv.get("k").entries.at(0).value == value);
        CPPUNIT_ASSERT(kv.list("k").entries.at(0).value == value);
    }

    void lostReplyTakesEffect()
    {
        PlatformService service({});
        auto kv = httpKvService(service.address(), timeout, "h");
        control(service.controlAddress(), R"({"kv":{"loseReplies":1}})");
        CPPUNIT_ASSERT(kv.compareAndSwap("k", "v", {}).status == KvStatus::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::string("v"), kv.get("k").entries.at(0).value);
    }

    void outageEndsWaitingWatch()
    {
        PlatformService service({});
        auto kv = httpKvService(service.address(), timeout, "h");
        std::thread switcher([&] {
            std::this_thread::sleep_for(Duration(100));
            control(service.controlAddress(), R"({"kv":{"outage":true}})");
        });
        CPPUNIT_ASSERT(kv.watch("x/", {}, Duration(10000)).status == KvStatus::Unknown);
        switcher.join();
        CPPUNIT_ASSERT(kv.get("k").status == KvStatus::Unknown);
        control(service.controlAddress(), R"({"kv":{"outage":false}})");
        CPPUNIT_ASSERT(kv.get("k").status == KvStatus::NotFound);
    }

    void cutCallerAloneIsRefused()
    {
        PlatformService service({});
        control(service.controlAddress(), R"({"kv":{"cutCallers":["cut"]}})");
        CPPUNIT_ASSERT(httpKvService(service.address(), timeout, "cut").get("k").status == KvStatus::Unknown);
        CPPUNIT_ASSERT(
            httpKvService(service.address(), timeout, "other").get("k").status == KvStatus::NotFound);
    }

    void writesAboveLimitAreRefused()
    {
        PlatformOptions options;
        options.writesPerSecond = 1;
        PlatformService service(options);
        auto kv = httpKvService(service.address(), timeout, "h");
        bool limited = false;
        for (int i = 0; i < 4; ++i)
            limited
                = limited || kv.compareAndSwap("k" + std::to_string(i), "v", {}).status == KvStatus::Limited;
        CPPUNIT_ASSERT(limited);
        CPPUNIT_ASSERT(record(service.controlAddress()).find("\"caller\":\"h\"") != std::string::npos);
    }

    void hostListLags()
    {
        HostRegistry registry(Duration(1000), Duration(3000));
        Machine machine;
        machine.id = "u1";
        machine.zone = ZoneId("z");
        const auto time = [](int ms) { return TimePoint(Duration(100'000 + ms)); };
        registry.report(machine, time(0));
        CPPUNIT_ASSERT(registry.list(ZoneId("z"), time(999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry.list(ZoneId("z"), time(1000)).size());
        CPPUNIT_ASSERT(registry.list(ZoneId("other"), time(1000)).empty());
        machine.state = MachineState::Leaving;
        registry.report(machine, time(2000));
        CPPUNIT_ASSERT(registry.list(ZoneId(), time(2999)).at(0).state == MachineState::Live);
        CPPUNIT_ASSERT(registry.list(ZoneId(), time(3000)).at(0).state == MachineState::Leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), registry.list(ZoneId(), time(5999)).size());
        CPPUNIT_ASSERT(registry.list(ZoneId(), time(6000)).empty());
    }

    void workerRunsTask()
    {
        WorkerOptions options;
        options.ids = { "r/0", "r/1" };
        options.zone = "z";
        WorkerService service(options);
        auto client = httpWorkerClient(timeout, "h");
        WorkerCommand hold;
        hold.gang = GangId("j/1");
        hold.accelerators = { 3 };
        hold.lease = Duration(5000);
        auto start = hold;
        start.op = WorkerOp::Start;
        start.runTime = Duration(30);
        const WorkerSync sync { "h#1", Epoch { 1 }, Duration(2000), { hold, start } };
        auto reply = client(service.address(1), sync);
        CPPUNIT_ASSERT(reply.status == SyncStatus::Granted);
        CPPUNIT_ASSERT(reply.tasks.at(0).state == TaskState::Running);
        std::this_thread::sleep_for(Duration(100));
        CPPUNIT_ASSERT(
            client(service.address(1), { "h#1", Epoch { 1 }, Duration(2000), {} }).tasks.at(0).state
            == TaskState::Completed);
        CPPUNIT_ASSERT(
            record(service.controlAddress()).find("\"reason\":\"completed\"") != std::string::npos);
    }

    void deadWorkerIsUnreachable()
    {
        WorkerOptions options;
        options.ids = { "r/0", "r/1" };
        options.zone = "z";
        WorkerService service(options);
        auto client = httpWorkerClient(timeout, "h");
        const WorkerSync sync { "h#1", Epoch { 1 }, Duration(2000), {} };
        CPPUNIT_ASSERT(client(service.address(0), sync).status == SyncStatus::Granted);
        control(service.controlAddress(), R"({"worker":"r/0","die":true})");
        CPPUNIT_ASSERT(client(service.address(0), sync).status == SyncStatus::Unreachable);
        CPPUNIT_ASSERT(client(service.address(1), sync).status == SyncStatus::Granted);
    }

    void upstreamAnswersOwnRequest()
    {
        UpstreamService service(upstreamOptions());
        auto client = httpUpstreamClient(timeout, timeout, "h");
        control(service.controlAddress(), R"({"spreadMs":100})");
        std::vector<std::thread> callers;
        callers.reserve(8);
        std::atomic<int> own { 0 };
        for (int i = 0; i < 8; ++i) {
            callers.emplace_back([&, i] {
                auto answer = client(service.address(), callOf(std::to_string(i)));
                own += answer.status == UpstreamStatus::Answered
                    && answer.body == "answer to body-" + std::to_string(i);
            });
        }
        for (auto& caller : callers)
            caller.join();
        CPPUNIT_ASSERT_EQUAL(8, own.load());
    }

    void upstreamSaysWhyItDidNotRun()
    {
        UpstreamService service(upstreamOptions());
        auto client = httpUpstreamClient(timeout, timeout, "h");
        control(service.controlAddress(), R"({"busy":true})");
        CPPUNIT_ASSERT(client(service.address(), callOf("1")).status == UpstreamStatus::Busy);
        control(service.controlAddress(), R"({"busy":false,"leaving":true})");
        CPPUNIT_ASSERT(client(service.address(), callOf("2")).status == UpstreamStatus::Leaving);
        CPPUNIT_ASSERT(record(service.controlAddress()).find("\"start\"") == std::string::npos);
    }

    void upstreamCutsAnswersShort()
    {
        UpstreamService service(upstreamOptions());
        auto client = httpUpstreamClient(timeout, timeout, "h");
        control(service.controlAddress(), R"({"cutAnswers":true})");
        CPPUNIT_ASSERT(client(service.address(), callOf("1")).status == UpstreamStatus::Unknown);
        control(service.controlAddress(), R"({"cutAnswers":false,"fail":true})");
        auto failed = client(service.address(), callOf("2"));
        CPPUNIT_ASSERT(failed.status == UpstreamStatus::Answered);
        CPPUNIT_ASSERT_EQUAL(500, failed.httpStatus);
    }

    void swappedAnswerIsNotTaken()
    {
        UpstreamService service(upstreamOptions());
        control(service.controlAddress(), R"({"swapAnswers":true})");
        auto client = httpUpstreamClient(timeout, timeout, "h");
        CPPUNIT_ASSERT(client(service.address(), callOf("1")).status == UpstreamStatus::Answered);
        CPPUNIT_ASSERT(client(service.address(), callOf("2")).status == UpstreamStatus::Unknown);
        // Without the check, as a test hook of the daemon has it, the caller gets another's answer.
        auto unchecked = httpUpstreamClient(timeout, timeout, "h", [] { return false; });
        CPPUNIT_ASSERT_EQUAL(std::string("answer to body-2"), unchecked(service.address(), callOf("3")).body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandinsTest);
