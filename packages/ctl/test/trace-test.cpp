// Explaining jobs from logs: order, gaps, and the sentence about the cause.
#include "jujubereach/ctl/trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace jujubereach::ctl;

class TraceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TraceTest);
    CPPUNIT_TEST(readsLinesBehindAPrefix);
    CPPUNIT_TEST(passesOverWhatIsNoLine);
    CPPUNIT_TEST(ordersLinesOfSeveralHosts);
    CPPUNIT_TEST(tellsWhyARequestWasRefused);
    CPPUNIT_TEST(tellsWhoseFaultAFailureIs);
    CPPUNIT_TEST(tellsThatAnOwnerWasLost);
    CPPUNIT_TEST(tellsOfMissingLines);
    CPPUNIT_TEST(tellsOfAnIdThatNobodyNames);
    CPPUNIT_TEST_SUITE_END();

    static LogLine line(std::int64_t at, const std::string& host, const std::string& rest)
    {
        auto parsed = parseLine(
            "{\"t\":" + std::to_string(at) + ",\"host\":\"" + host + "\",\"event\":" + rest + '}');
        CPPUNIT_ASSERT(parsed);
        return *parsed;
    }

    static bool tells(const Trace& trace, const std::string& what)
    {
        return trace.verdict.find(what) != std::string::npos;
    }

    void readsLinesBehindAPrefix()
    {
        const auto parsed
            = parseLine("  50.9 edge-1 {\"t\":17,\"host\":\"h\",\"event\":\"job\",\"id\":\"a\",\"tasks\":3}");
        CPPUNIT_ASSERT(parsed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(17), parsed->at);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), parsed->field("id"));
        CPPUNIT_ASSERT_EQUAL(std::string("3"), parsed->field("tasks"));
    }

    void passesOverWhatIsNoLine()
    {
        CPPUNIT_ASSERT(!parseLine(""));
        CPPUNIT_ASSERT(!parseLine("Segmentation fault"));
        CPPUNIT_ASSERT(!parseLine("{\"t\":17,\"host\":\"h\",\"eve"));
        CPPUNIT_ASSERT(!parseLine("{\"t\":17,\"host\":\"h\"}"));
    }

    void ordersLinesOfSeveralHosts()
    {
        const auto trace = traceOf("a",
            { line(30, "h2",
                  "\"job-end\",\"id\":\"a\",\"state\":\"completed\",\"why\":\"all tasks are done\""),
                line(20, "h2", "\"start\",\"task\":\"a.0.0.0\",\"run\":1,\"worker\":\"w\""),
                line(21, "h2", "\"start\",\"task\":\"ab.0.0.0\",\"run\":1,\"worker\":\"w\""),
                line(10, "h1", "\"call\",\"id\":\"a\",\"kind\":\"submit\",\"outcome\":\"accepted\"") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), trace.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("call"), trace.lines[0].event);
        CPPUNIT_ASSERT_EQUAL(std::string("job-end"), trace.lines[2].event);
        CPPUNIT_ASSERT(tells(trace, "It ended as completed after 0.0 s, because all tasks are done."));
    }

    void tellsWhyARequestWasRefused()
    {
        const auto trace = traceOf("a",
            { line(10, "h1",
                "\"call\",\"id\":\"a\",\"kind\":\"submit\",\"outcome\":\"unavailable\",\"why\":\"the "
                "configuration is not confirmed\",\"configVersion\":7,\"newsAgeMs\":4100") });
        CPPUNIT_ASSERT(
            tells(trace, "answered 'unavailable' by h1, because the configuration is not confirmed"));
        CPPUNIT_ASSERT(tells(trace, "confirmed 4100 ms before"));
    }

    void tellsWhoseFaultAFailureIs()
    {
        const auto failed = [](std::int64_t at, const std::string& worker) {
            return line(
                at, "h2", "\"end\",\"task\":\"a.0.0.0\",\"kind\":\"failed\",\"worker\":\"" + worker + '"');
        };
        const auto end = line(5000, "h2",
            "\"job-end\",\"id\":\"a\",\"state\":\"failed\",\"why\":\"a task has failed as often as its queue "
            "allows\"");
        const auto same = traceOf("a", { failed(10, "w1"), failed(20, "w1"), end });
        CPPUNIT_ASSERT(tells(same, "All failures were on worker w1"));
        const auto several = traceOf("a", { failed(10, "w1"), failed(20, "w2"), end });
        CPPUNIT_ASSERT(tells(several, "It failed on 2 workers (w1 1, w2 1)"));
    }

    void tellsThatAnOwnerWasLost()
    {
        const auto trace = traceOf("a",
            { line(1000, "h1", "\"call\",\"id\":\"a\",\"kind\":\"submit\",\"outcome\":\"accepted\""),
                line(500, "h3", "\"takeover\",\"fence\":1"), line(4000, "h2", "\"takeover\",\"fence\":9"),
                line(4100, "h2", "\"job\",\"id\":\"a\""),
                line(16'000, "h2", "\"doubt-over\",\"silentWorkers\":3"),
                line(16'100, "h2", "\"start\",\"task\":\"a.0.0.0\",\"worker\":\"w\""),
                line(18'000, "h2",
                    "\"job-end\",\"id\":\"a\",\"state\":\"completed\",\"why\":\"all tasks are done\"") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), trace.lines.size()); // The earlier takeover is not its.
        CPPUNIT_ASSERT(tells(trace, "after 17.0 s"));
        CPPUNIT_ASSERT(tells(trace, "The owner heard of it after 3.1 s."));
        CPPUNIT_ASSERT(
            tells(trace, "started after 15.1 s, once a new owner's doubt of silent workers was over"));
        std::ostringstream out;
        print(out, trace);
        CPPUNIT_ASSERT(out.str().find("... 11.9 s without a line") != std::string::npos);
    }

    void tellsOfMissingLines()
    {
        const auto trace = traceOf("a",
            { line(10, "h1", "\"call\",\"id\":\"a\",\"kind\":\"submit\",\"outcome\":\"accepted\""),
                line(20, "h2", "\"left-out\",\"kind\":\"end\",\"lines\":5"),
                line(30, "h2", "\"left-out\",\"kind\":\"end\",\"lines\":2"),
                line(40, "h2", "\"start\",\"task\":\"a.0.0.0\",\"worker\":\"w\"") });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trace.gaps.size());
        CPPUNIT_ASSERT_EQUAL(std::string("h2 left out 'end' lines: 7"), trace.gaps[0]);
        CPPUNIT_ASSERT(tells(trace, "It has not ended in these lines."));
    }

    void tellsOfAnIdThatNobodyNames()
    {
        const auto trace = traceOf("a", { line(10, "h1", "\"call\",\"id\":\"b\",\"kind\":\"submit\"") });
        CPPUNIT_ASSERT(trace.lines.empty());
        CPPUNIT_ASSERT(tells(trace, "No line names a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);
