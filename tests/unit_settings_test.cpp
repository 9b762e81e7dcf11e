#include "agent_settings.h"
#include "entry_settings.h"
#include "gateway_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace turmericline;

/** Guards the settings tables: all errors reported in one run, flags override the environment, defaults are valid. */
class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(reportsAllErrors);
    CPPUNIT_TEST(flagsOverrideEnvironment);
    CPPUNIT_TEST(defaultsAreValid);
    CPPUNIT_TEST(listsAreReadFromEnvironment);
    CPPUNIT_TEST(fractionsAndExponentsAreAccepted);
    CPPUNIT_TEST(numbersOutsideTheirRangeAreRejected);
    CPPUNIT_TEST_SUITE_END();

    std::map<std::string, std::string> m_environment;

    EnvironmentLookup environment()
    {
        return [this](const char *name) -> const char * {
            const auto it = m_environment.find(name);
            return it == m_environment.end() ? nullptr : it->second.c_str();
        };
    }

    template<std::size_t N>
    SettingsParseResult<EntrySettings> parse(const std::array<const char *, N> &argv)
    {
        return parseSettings(entrySettingRows, static_cast<int>(N), argv.data(), environment());
    }

    static SettingsParseResult<GatewaySettings>
    parseGateway(const char *slack, const char *grace, const char *agentPort)
    {
        const std::array argv{"gateway",
                              "--name",
                              "a",
                              "--domain",
                              "d1",
                              "--listen",
                              "127.0.0.1:1",
                              "--ready",
                              "127.0.0.1:2",
                              "--store",
                              "127.0.0.1:3",
                              "--retry-slack",
                              slack,
                              "--grace-ms",
                              grace,
                              "--agent-port",
                              agentPort};
        return parseSettings(gatewaySettingRows, static_cast<int>(argv.size()), argv.data(), [](const char *) {
            return nullptr;
        });
    }

    static constexpr const char *secret = "k:00112233445566778899aabbccddeeff";

public:
    void reportsAllErrors()
    {
        const auto result = parse(std::array{"entry", "--port", "70000", "--config-url", "ftp://x", "--nonsense", "1"});
        std::vector<std::string> names;
        for (const auto &it : result.errors) {
            names.push_back(it.name);
        }
        const std::vector<std::string> expected{"--nonsense", "1", "name", "domain", "port", "config-url", "peer-key"};
        CPPUNIT_ASSERT(names == expected);
    }

    void flagsOverrideEnvironment()
    {
        m_environment = {{"TURMERICLINE_NAME", "fromenv"}, {"TURMERICLINE_DOMAIN", "d9"}};
        const auto result = parse(std::array{"entry", "--name", "flag", "--peer-key", secret});
        CPPUNIT_ASSERT(result.errors.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("flag"), result.settings.name);
        CPPUNIT_ASSERT_EQUAL(std::string("d9"), result.settings.domain);
    }

    void defaultsAreValid()
    {
        const auto result = parse(std::array{"entry", "--name", "a", "--domain", "d1", "--peer-key", secret});
        CPPUNIT_ASSERT(result.errors.empty());
        CPPUNIT_ASSERT(result.settings.drainNotice == std::chrono::seconds(5));
    }

    void listsAreReadFromEnvironment()
    {
        m_environment = {{"TURMERICLINE_PEER", "127.0.0.1:1,127.0.0.1:2"}};
        const auto result = parse(std::array{"entry", "--name", "a", "--domain", "d1", "--peer-key", secret});
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), result.settings.peers.size());
    }

    /** The platform states its bounds as whole numbers or fractions. A gateway that got 34.1 for a count did not start. */
    void fractionsAndExponentsAreAccepted()
    {
        struct Case
        {
            const char *slack;
            double expectedSlack;
            const char *grace;
            std::chrono::milliseconds expectedGrace;
        };
        const std::array cases{
            Case{"648", 648, "8s", std::chrono::milliseconds(8'000)},
            Case{"34.10526315789474", 34.10526315789474, "8.5s", std::chrono::milliseconds(8'500)},
            Case{"648.0", 648, "8.0s", std::chrono::milliseconds(8'000)},
            Case{"1e3", 1'000, "8e0s", std::chrono::milliseconds(8'000)},
            Case{"0", 0, "8000", std::chrono::milliseconds(8'000)},
            Case{"2.5E1", 25, "8000.7", std::chrono::milliseconds(8'000)},
            Case{"0.5", 0.5, "1e4ms", std::chrono::milliseconds(10'000)},
        };
        for (const auto &it : cases) {
            const auto result = parseGateway(it.slack, it.grace, "9464.0");
            CPPUNIT_ASSERT_MESSAGE(it.slack + std::string(" ") + it.grace, result.errors.empty());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(it.expectedSlack, result.settings.retrySlack, 1e-9);
            CPPUNIT_ASSERT(it.expectedGrace == result.settings.grace);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{9'464}, result.settings.agentPort);
        }
    }

    void numbersOutsideTheirRangeAreRejected()
    {
        for (const char *it : {"", "x", "-1", "1e300", "nan", "inf", "1,5", "34.1 ", "0x10"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !parseGateway(it, "8s", "1").errors.empty());
        }
        for (const char *it : {"s", "8m", "-8s", "0.4s", "nans", "700000000s"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !parseGateway("1", it, "1").errors.empty());
        }
        for (const char *it : {"1.5", "65536", "1e-3"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !parseGateway("1", "8s", it).errors.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
