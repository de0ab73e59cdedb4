// What a start with good and bad settings does.
#include "settings.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace jujubereach;
using namespace jujubereach::daemon;

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(goodSettingsRun);
    CPPUNIT_TEST(seedsAreCommaSeparated);
    CPPUNIT_TEST(unknownFlagIsNamed);
    CPPUNIT_TEST(badAddressIsNamed);
    CPPUNIT_TEST(emptyZoneIsNamed);
    CPPUNIT_TEST(negativeBoundIsNamed);
    CPPUNIT_TEST(missingSettingIsNamed);
    CPPUNIT_TEST(theDeployedDaemonBreaksNoMechanism);
    CPPUNIT_TEST(helpEndsWithStatusZero);
    CPPUNIT_TEST_SUITE_END();

    using Args = std::vector<std::string>;

    static Args good()
    {
        return { "jujubereachd", "--host", "h1", "--zone", "z1", "--region", "r1", "--http", "127.0.0.1:1",
            "--inner", "127.0.0.1:2", "--platform", "127.0.0.1:3" };
    }

    static Args with(Args args, const Args& more)
    {
        args.insert(args.end(), more.begin(), more.end());
        return args;
    }

    static StartChoice read(const Args& args)
    {
        std::vector<const char*> argv;
        for (const auto& arg : args)
            argv.push_back(arg.c_str());
        return readSettings(static_cast<int>(argv.size()), argv.data());
    }

    static void assertRefused(const Args& args, const std::string& setting)
    {
        const auto choice = read(args);
        CPPUNIT_ASSERT(choice.action == StartAction::Exit);
        CPPUNIT_ASSERT_EQUAL(2, choice.exitStatus);
        CPPUNIT_ASSERT_MESSAGE(choice.message, choice.message.find(setting) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(choice.message, choice.message.find('\n') == std::string::npos);
    }

    void goodSettingsRun()
    {
        const auto choice = read(good());
        CPPUNIT_ASSERT(choice.action == StartAction::Run);
        CPPUNIT_ASSERT_EQUAL(ZoneId("z1"), choice.settings.zone);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), choice.settings.innerAddress);
    }

    void seedsAreCommaSeparated()
    {
        const auto choice = read(with(good(), { "--seeds", "127.0.0.1:4,127.0.0.1:5" }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), choice.settings.seeds.size());
    }

    void unknownFlagIsNamed() { assertRefused(with(good(), { "--quick" }), "--quick"); }

    void badAddressIsNamed()
    {
        auto args = good();
        args[8] = "localhost";
        assertRefused(args, "--http");
        args[8] = "127.0.0.1:70000";
        assertRefused(args, "--http");
    }

    void emptyZoneIsNamed()
    {
        auto args = good();
        args[4] = "";
        assertRefused(args, "--zone");
    }

    void negativeBoundIsNamed()
    {
        assertRefused(with(good(), { "--drain-bound-ms", "-5" }), "--drain-bound-ms");
    }

    void missingSettingIsNamed()
    {
        auto args = good();
        args.resize(11);
        assertRefused(args, "--platform");
    }

    void theDeployedDaemonBreaksNoMechanism()
    {
        assertRefused(with(good(), { "--test-hooks" }), "--test-hooks");
    }

    void helpEndsWithStatusZero()
    {
        const auto choice = read({ "jujubereachd", "--help" });
        CPPUNIT_ASSERT(choice.action == StartAction::Exit);
        CPPUNIT_ASSERT_EQUAL(0, choice.exitStatus);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
