// The stand-ins of the users' platform: crashes, changing capacities and odd entries.
#include "odd-entries.h"
#include "users-worker.h"

#include "jujubereach/net/http-client.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace jujubereach;
using namespace jujubereach::standins;

namespace {

std::string freeAddress()
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// One worker and its store on one loop.
struct Platform {
    boost::asio::io_context loop { 1 };
    UsersStore store { loop, freeAddress() };
    WorkerRecord record;
    std::string address = freeAddress();
    UsersWorker worker { loop, store, record, "w", address, address, "r" };
    net::HttpClient client { loop };

    void spend(Duration time)
    {
        const auto until = steadyClock()() + time;
        while (steadyClock()() < until)
            loop.run_one_for(std::chrono::milliseconds(10));
    }

    /// The status of the answer, 0 if there is none.
    int start(const std::string& task, const std::string& spec, const std::string& id = "w")
    {
        constexpr Duration timeout { 400 };
        const boost::json::object order { { "Task", task }, { "RunId", 1 }, { "Spec", spec },
            { "DeadlineMs", 8000 }, { "FencingToken", 1 } };
        std::optional<int> status;
        client.call(address,
            { "POST", "/v1/run-start", { { "Expected-Instance", id } }, boost::json::serialize(order) },
            timeout, [&](const net::CallResult& result) {
                status = result.delivery == net::DeliveryStatus::Answered ? result.response.status : 0;
            });
        while (!status)
            loop.run_one_for(std::chrono::milliseconds(10));
        return *status;
    }

    /// Posts the body; returns the status and stores the answer.
    int post(const std::string& path, const std::string& body, std::string* answer = nullptr)
    {
        std::optional<int> status;
        client.call(address, { "POST", path, { { "Expected-Instance", "w" } }, body }, Duration(400),
            [&](const net::CallResult& result) {
                status = result.delivery == net::DeliveryStatus::Answered ? result.response.status : 0;
                if (answer)
                    *answer = result.response.body;
            });
        while (!status)
            loop.run_one_for(std::chrono::milliseconds(10));
        return *status;
    }

    /// Percentage and load of a task in the worker's list.
    std::pair<std::int64_t, std::int64_t> rowOf(const std::string& task)
    {
        std::string answer;
        post("/v1/hold", R"({"FencingToken":1})", &answer);
        const auto lists = boost::json::parse(answer);
        for (const auto& row : lists.at("Running").as_array()) {
            if (row.at(0).as_string() == task)
                return { row.at(3).to_number<std::int64_t>(), row.at(4).to_number<std::int64_t>() };
        }
        return { -1, -1 };
    }

    bool isListed(const std::string& id) const { return !store.value("servers/" + id).empty(); }
    std::string broken() const { return record.broken.empty() ? std::string() : record.broken.front(); }
};

const std::string small = R"({"cpu":1000,"mem":1000,"gpu":1})";
const std::string half = R"({"cpu":1000,"mem":1000,"gpu":4})";
const std::string deadly = R"({"cpu":1000,"mem":1000,"gpu":1,"deadly":"0.1"})";

} // namespace

class UsersStandinsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UsersStandinsTest);
    CPPUNIT_TEST(onlyTheNamedTaskCrashesItsWorker);
    CPPUNIT_TEST(aCrashedWorkerIsBackUnderANewId);
    CPPUNIT_TEST(aCrashedWorkerIsBackUnderItsId);
    CPPUNIT_TEST(aRestartedWorkerTakesCallsBeforeItsEntryShowsIt);
    CPPUNIT_TEST(aRestartedWorkerAnswersNoCallOfItsFormerLife);
    CPPUNIT_TEST(theEntryOfACrashedWorkerIsRemoved);
    CPPUNIT_TEST(aCrashDropsACallWhoseTimeIsUp);
    CPPUNIT_TEST(recordsStartsAfterThreeCrashes);
    CPPUNIT_TEST(theEntryShowsAChangedCapacity);
    CPPUNIT_TEST(recordsStartsBeyondTheCapacity);
    CPPUNIT_TEST(aShrunkCapacityCountsAfterTheAllowance);
    CPPUNIT_TEST(pacesWorkAndInterference);
    CPPUNIT_TEST(refusesPacesOfOtherRunsAndOwners);
    CPPUNIT_TEST(oddEntriesAreOdd);
    CPPUNIT_TEST_SUITE_END();

    void onlyTheNamedTaskCrashesItsWorker()
    {
        Platform platform;
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", deadly));
        platform.spend(Duration(400));
        CPPUNIT_ASSERT(!platform.worker.isDown());
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.1", deadly));
        platform.spend(Duration(400));
        CPPUNIT_ASSERT(platform.worker.isDown());
        CPPUNIT_ASSERT_EQUAL(1, platform.record.crashes["j.0.0.1"]);
        CPPUNIT_ASSERT_EQUAL(0, platform.record.live["j.0.0.0"]);
        CPPUNIT_ASSERT_EQUAL(0, platform.start("j.0.0.2", small));
        platform.spend(Duration(5500)); // The longest time that it is down.
        CPPUNIT_ASSERT(!platform.worker.isDown());
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.2", small, platform.worker.id()));
        CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
    }

    void aCrashedWorkerIsBackUnderANewId()
    {
        Platform platform;
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small));
        platform.worker.crash(Duration(300), true);
        platform.spend(Duration(400));
        CPPUNIT_ASSERT(platform.worker.id() != "w");
        CPPUNIT_ASSERT(platform.isListed("w") && platform.isListed(platform.worker.id()));
        CPPUNIT_ASSERT_EQUAL(421, platform.start("j.0.0.0", small));
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small, platform.worker.id()));
        CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
    }

    void aCrashedWorkerIsBackUnderItsId()
    {
        Platform platform;
        const auto born = [&platform] {
            return boost::json::parse(platform.store.value("servers/w")).at("born").to_number<std::int64_t>();
        };
        const auto before = born();
        platform.worker.crash(Duration(300), false);
        CPPUNIT_ASSERT_EQUAL(0, platform.start("j.0.0.0", small));
        platform.spend(Duration(400));
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small));
        CPPUNIT_ASSERT(born() > before);
        platform.spend(Duration(3500));
        CPPUNIT_ASSERT(platform.isListed("w"));
    }

    void aRestartedWorkerTakesCallsBeforeItsEntryShowsIt()
    {
        Platform platform;
        const auto before = platform.store.value("servers/w");
        platform.worker.restart(Duration(300));
        CPPUNIT_ASSERT_EQUAL(0, platform.start("j.0.0.0", small)); // Waits for longer than that.
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small));
        CPPUNIT_ASSERT_EQUAL(before, platform.store.value("servers/w"));
        platform.spend(Duration(1200));
        CPPUNIT_ASSERT(platform.store.value("servers/w") != before);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), platform.worker.id());
        platform.spend(Duration(3000));
        CPPUNIT_ASSERT(platform.isListed("w"));
    }

    void aRestartedWorkerAnswersNoCallOfItsFormerLife()
    {
        Platform platform;
        std::optional<net::DeliveryStatus> delivery;
        platform.client.call(platform.address,
            { "POST", "/v1/hold", { { "Expected-Instance", "w" } }, R"({"FencingToken":1,"WaitMs":300})" },
            Duration(800), [&](const net::CallResult& result) { delivery = result.delivery; });
        platform.spend(Duration(100));
        platform.worker.rebirth();
        platform.spend(Duration(900));
        CPPUNIT_ASSERT(delivery == net::DeliveryStatus::Unknown);
    }

    void theEntryOfACrashedWorkerIsRemoved()
    {
        Platform platform;
        platform.worker.crash(Duration(6000), true);
        platform.spend(Duration(2500));
        CPPUNIT_ASSERT(platform.isListed("w"));
        platform.spend(Duration(1000));
        CPPUNIT_ASSERT(!platform.isListed("w"));
    }

    // Its timer may have fired already, with the handler still to run.
    void aCrashDropsACallWhoseTimeIsUp()
    {
        Platform platform;
        platform.client.call(platform.address,
            { "POST", "/v1/hold", { { "Expected-Instance", "w" } }, R"({"FencingToken":1,"WaitMs":200})" },
            Duration(2000), [](const net::CallResult&) { /* Not answered. */ });
        platform.spend(Duration(50));
        boost::asio::steady_timer timer(platform.loop, Duration(50));
        timer.async_wait(
            [&](const boost::system::error_code&) { platform.worker.crash(Duration(100), false); });
        std::this_thread::sleep_for(Duration(400));
        platform.spend(Duration(300));
        CPPUNIT_ASSERT(!platform.worker.isDown());
        CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small));
    }

    // A scheduler is tested against these effects: work and interference follow the pace, a tail after 500
    // ms.
    void pacesWorkAndInterference()
    {
        Platform platform;
        platform.start("s.0.0.0", R"({"cpu":1000,"mem":1000,"gpu":0,"load":50,"workMs":60000})");
        platform.start("f.0.0.0", R"({"cpu":99000,"mem":1000,"gpu":0,"fills":true,"harm":3,"workMs":4000})");
        platform.spend(Duration(600));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150), platform.rowOf("s.0.0.0").second);
        CPPUNIT_ASSERT_EQUAL(
            200, platform.post("/v1/pace", R"({"Task":"f.0.0.0","RunId":1,"Percent":0,"FencingToken":1})"));
        platform.spend(Duration(200));
        const auto stood = platform.rowOf("f.0.0.0").first;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(stood), stood > 10 && stood < 40);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(150), platform.rowOf("s.0.0.0").second);
        platform.spend(Duration(700));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(50), platform.rowOf("s.0.0.0").second);
        CPPUNIT_ASSERT_EQUAL(stood, platform.rowOf("f.0.0.0").first);
        platform.post("/v1/pace", R"({"Task":"f.0.0.0","RunId":1,"Percent":50,"FencingToken":1})");
        platform.spend(Duration(700));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(100), platform.rowOf("s.0.0.0").second);
        CPPUNIT_ASSERT(platform.rowOf("f.0.0.0").first > stood);
        CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
    }

    void refusesPacesOfOtherRunsAndOwners()
    {
        Platform platform;
        platform.start("f.0.0.0", small);
        CPPUNIT_ASSERT_EQUAL(
            409, platform.post("/v1/pace", R"({"Task":"f.0.0.0","RunId":2,"Percent":0,"FencingToken":1})"));
        CPPUNIT_ASSERT_EQUAL(
            409, platform.post("/v1/pace", R"({"Task":"f.0.0.0","RunId":1,"Percent":0,"FencingToken":0})"));
        CPPUNIT_ASSERT_EQUAL(
            400, platform.post("/v1/pace", R"({"Task":"f.0.0.0","RunId":1,"Percent":101,"FencingToken":1})"));
    }

    void recordsStartsAfterThreeCrashes()
    {
        Platform platform;
        platform.record.crashes["j.0.0.0"] = 3;
        for (int start = 1; start <= 3; ++start) {
            CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
            platform.worker.rebirth();
            CPPUNIT_ASSERT_EQUAL(200, platform.start("j.0.0.0", small));
        }
        CPPUNIT_ASSERT(platform.broken().starts_with("BUDGET"));
    }

    void theEntryShowsAChangedCapacity()
    {
        Platform platform;
        platform.worker.setCapacity({ 1000, 2000, 3 });
        platform.spend(Duration(1200));
        const auto capacity = boost::json::parse(platform.store.value("servers/w")).at("Capacity");
        CPPUNIT_ASSERT(capacity == boost::json::parse(R"({"Cpu":1000,"MemMb":2000,"Gpu":3})"));
    }

    void recordsStartsBeyondTheCapacity()
    {
        for (const auto* spec : { R"({"cpu":1000,"mem":1000,"gpu":5})",
                 R"({"cpu":1000,"mem":262000,"gpu":1})", R"({"cpu":64000,"mem":1000,"gpu":1})" }) {
            Platform platform;
            platform.start("j.0.0.0", half);
            CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
            platform.start("j.0.0.1", spec);
            CPPUNIT_ASSERT(platform.broken().starts_with("LIMIT"));
        }
    }

    void aShrunkCapacityCountsAfterTheAllowance()
    {
        Platform platform;
        platform.worker.setCapacity({ 64'000, 262'144, 4 });
        platform.spend(UsersWorker::capacityAllowance - Duration(500));
        platform.start("j.0.0.0", half);
        platform.start("j.0.0.1", small);
        CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
        platform.worker.rebirth();
        platform.spend(Duration(600));
        platform.start("k.0.0.0", half);
        CPPUNIT_ASSERT_EQUAL(std::string(), platform.broken());
        platform.start("k.0.0.1", small);
        CPPUNIT_ASSERT(platform.broken().starts_with("LIMIT"));
    }

    void oddEntriesAreOdd()
    {
        Platform platform;
        constexpr std::size_t deep = 100'000;
        std::size_t deepest = 0;
        for (const auto& entry : oddEntries()) {
            platform.store.put("servers/odd", entry.value);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.name, entry.value, platform.store.value("servers/odd"));
            deepest = std::max(
                deepest, static_cast<std::size_t>(std::count(entry.value.begin(), entry.value.end(), '[')));
        }
        CPPUNIT_ASSERT(deepest >= deep);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsersStandinsTest);
