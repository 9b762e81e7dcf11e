#include "agent_settings.h"
#include "entry_settings.h"

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
