// The rendered metrics and the quantiles of histograms.
#include "jujubereach/metrics/registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach::metrics;

class MetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(countersAddUp);
    CPPUNIT_TEST(histogramTellsQuantiles);
    CPPUNIT_TEST(seriesAreBounded);
    CPPUNIT_TEST(labelValuesAreEscaped);
    CPPUNIT_TEST_SUITE_END();

    void countersAddUp()
    {
        Registry registry;
        registry.add("refusals_total", { { "workspace", "foil" } });
        registry.add("refusals_total", { { "workspace", "foil" } }, 2);
        assertContains(registry.renderText(), "refusals_total{workspace=\"foil\"} 3\n");
    }

    void histogramTellsQuantiles()
    {
        Registry registry;
        for (int i = 0; i < 98; ++i)
            registry.observe("wait_ms", { { "class", "proof" } }, 10);
        registry.observe("wait_ms", { { "class", "proof" } }, 5000);
        registry.observe("wait_ms", { { "class", "proof" } }, 5000);
        const auto rows = registry.histograms();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), rows.size());
        CPPUNIT_ASSERT(rows[0].quantiles.p50 >= 10 && rows[0].quantiles.p50 < 20);
        CPPUNIT_ASSERT(rows[0].quantiles.p99 >= 5000 && rows[0].quantiles.p99 < 10'000);
        assertContains(registry.renderText(), "wait_ms_count{class=\"proof\"} 100\n");
    }

    void seriesAreBounded()
    {
        Registry registry(2);
        for (int i = 0; i < 10; ++i)
            registry.add("calls_total", { { "caller", std::to_string(i) } });
        assertContains(registry.renderText(), "calls_total{caller=\"other\"} 8\n");
    }

    void labelValuesAreEscaped()
    {
        Registry registry;
        registry.add("calls_total", { { "caller", "a\"b\nc" } });
        assertContains(registry.renderText(), "calls_total{caller=\"a\\\"b c\"} 1\n");
    }

    static void assertContains(const std::string& text, const std::string& part)
    {
        CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
