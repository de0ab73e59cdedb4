// Rate limits per event, and a pipe that is not read.
#include "jujubereach/entry/event-log.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

using namespace jujubereach;
using namespace jujubereach::entry;

class EventLogTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(writesOneObjectPerLine);
    CPPUNIT_TEST(limitsTheRateAndReportsDroppedLines);
    CPPUNIT_TEST(neverBlocksOnAFullPipe);
    CPPUNIT_TEST_SUITE_END();

    struct Pipe {
        Pipe() { CPPUNIT_ASSERT_EQUAL(0, pipe(ends)); }
        ~Pipe()
        {
            close(ends[0]);
            close(ends[1]);
        }

        std::string read()
        {
            fcntl(ends[0], F_SETFL, O_NONBLOCK);
            std::string out;
            char buf[4096];
            ssize_t size = 0;
            while ((size = ::read(ends[0], buf, sizeof buf)) > 0)
                out.append(buf, static_cast<std::size_t>(size));
            return out;
        }

        int ends[2] {};
    };

    TimePoint m_now { Duration(1000) };

    EventLog log(const Pipe& pipe)
    {
        return EventLog(
            "h", [this] { return m_now; }, [] { return WallTime { 5 }; }, pipe.ends[1], { 10, 5 });
    }

    void writesOneObjectPerLine()
    {
        Pipe pipe;
        log(pipe).write("start", { { "zone", "z\n" } });
        const auto line = pipe.read();
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"t\":5,\"host\":\"h\",\"event\":\"start\",\"zone\":\"z\\n\"}\n"), line);
    }

    void limitsTheRateAndReportsDroppedLines()
    {
        Pipe pipe;
        auto events = log(pipe);
        for (int i = 0; i < 1000; ++i)
            events.write("refused", {});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(990), events.droppedLines());
        events.write("other", {});
        m_now += Duration(1000);
        events.write("refused", {});
        const auto text = pipe.read();
        CPPUNIT_ASSERT(text.find("\"left-out\",\"kind\":\"refused\",\"lines\":990") != std::string::npos);
        CPPUNIT_ASSERT(text.find("\"event\":\"other\"") != std::string::npos);
    }

    void neverBlocksOnAFullPipe()
    {
        Pipe pipe;
        auto events = log(pipe);
        const boost::json::object fields { { "text", std::string(3000, 'x') } };
        for (int i = 0; i < 200; ++i) {
            m_now += Duration(1000);
            events.write("big", fields);
        }
        CPPUNIT_ASSERT(events.droppedLines() > 0);
        auto text = pipe.read();
        m_now += Duration(1000);
        events.write("after", {});
        text += pipe.read();
        // A partially written line is completed before the next one.
        std::size_t from = 0;
        for (auto end = text.find('\n'); end != std::string::npos;
             from = end + 1, end = text.find('\n', from))
            CPPUNIT_ASSERT(boost::json::parse(text.substr(from, end - from)).is_object());
        CPPUNIT_ASSERT(text.find("\"after\"") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);
