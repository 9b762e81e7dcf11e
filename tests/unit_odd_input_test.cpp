#include "config_sync_codec.h"
#include "feed_relay_codec.h"
#include "gossip_codec.h"
#include "platform_client.h"
#include "platform_dialect.h"
#include "platform_rank.h"
#include "platform_store.h"
#include "quota_wire.h"
#include "rank_codec.h"
#include "rank_load.h"
#include "server_limit_codec.h"
#include "suspect_sync.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

using namespace turmericline;

/**
 * Guards against input of others that ends a process, or that has a sound list of servers ignored: values that are nested
 * very deeply, numbers that are too large, ports out of range, wrong types, and bytes that are no text.
 */
class OddInputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddInputTest);
    CPPUNIT_TEST(deepMessagesAreRejected);
    CPPUNIT_TEST(deepTextIsRejected);
    CPPUNIT_TEST(oddAnnouncementNamesNoServer);
    CPPUNIT_TEST(soundAnnouncementIsRead);
    CPPUNIT_TEST(oddItemOfAPageLeavesTheOthers);
    CPPUNIT_TEST(pageThatIsNoListIsRejected);
    CPPUNIT_TEST(oddConfigurationIsRejected);
    CPPUNIT_TEST(oddAnswersOfRanksAreRejected);
    CPPUNIT_TEST(oddInstanceLeavesTheOthers);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t depth = 100'000;

    static std::string deepText(char open = '[')
    {
        std::string text;
        for (std::size_t n = 0; n < depth; ++n) {
            text += open == '[' ? "[" : R"({"a":)";
        }
        text += "1";
        text.append(depth, open == '[' ? ']' : '}');
        return text;
    }

    /** @p value in place of a field of a sound announcement; an empty one leaves the field out. */
    static std::string announcement(const std::string &field = {}, const std::string &value = {})
    {
        const std::vector<std::pair<std::string, std::string>> fields{{"service", R"("s")"},
                                                                      {"address", R"("10.0.0.1:80")"},
                                                                      {"zone", R"("d")"},
                                                                      {"state", R"("ready")"},
                                                                      {"slots", "8"},
                                                                      {"born", "1700000000000"},
                                                                      {"group", R"({"name":"g","rank":3,"epoch":2})"}};
        std::string text;
        for (const auto &[name, sound] : fields) {
            const auto &used = name == field ? value : sound;
            if (!used.empty()) {
                text += fmt::format("{}\"{}\":{}", text.empty() ? "{" : ",", name, used);
            }
        }
        return text + "}";
    }

    static bool isServer(const std::string &field, const std::string &value)
    {
        return static_cast<bool>(readPlatformServer("servers/i-1", announcement(field, value)));
    }

    static std::string item(const std::string &key, const std::string &value)
    {
        return fmt::format(R"({{"key":{},"value":{},"revision":3,"created":1,"lease":0}})", key, value);
    }

public:
    void deepMessagesAreRejected()
    {
        // 0x91 begins an array with one element, 0x81 a map with one.
        std::string maps;
        for (std::size_t n = 0; n < depth; ++n) {
            maps += "\x81\xa1"
                    "a";
        }
        for (const auto &bytes :
             {std::string(depth, '\x91'), std::string(depth, '\x91') + '\x01', maps, maps + '\x01'}) {
            CPPUNIT_ASSERT(!decodeGossip(bytes));
            CPPUNIT_ASSERT(!decodeFeedPoll(bytes) && !decodeFeedReport(bytes));
            CPPUNIT_ASSERT(!decodeGroupReport(bytes) && !decodeRankOrder(bytes) && !decodeOrderAnswers(bytes));
            CPPUNIT_ASSERT(!decodePermitRequest(bytes) && !decodePermitReply(bytes));
            CPPUNIT_ASSERT(!decodeGroupLoads(bytes));
            CPPUNIT_ASSERT(!decodeQuotaMessage(bytes));
            CPPUNIT_ASSERT(fromMessagePack(bytes).is_null());
        }
    }

    void deepTextIsRejected()
    {
        for (const char open : {'[', '{'}) {
            const auto text = deepText(open);
            CPPUNIT_ASSERT(!readPlatformServer("servers/i-1", text));
            CPPUNIT_ASSERT(!readPlatformPage(text));
            CPPUNIT_ASSERT(!readPlatformConfig(text));
            CPPUNIT_ASSERT(!parseInstances(text) || parseInstances(text).value->empty());
            CPPUNIT_ASSERT(!platformRankDialect().readState(text));
            SuspectSync(std::chrono::seconds(1)).mergeHeader(text);
            for (const char *field : {"service", "address", "zone", "state", "slots", "born", "group"}) {
                CPPUNIT_ASSERT_MESSAGE(field, !isServer(field, text));
            }
            // A field that is not read may hold anything.
            CPPUNIT_ASSERT(isServer("born", "7,\"other\":" + text));
        }
    }

    void oddAnnouncementNamesNoServer()
    {
        for (const char *value : {R"("10.0.0.1:65536")",
                                  R"("10.0.0.1:99999999999999999999")",
                                  R"("10.0.0.1:-1")",
                                  R"("10.0.0.1:0")",
                                  R"("10.0.0.1:")",
                                  R"("10.0.0.1")",
                                  R"("host:80")",
                                  R"("")",
                                  "7",
                                  "null",
                                  "[]",
                                  "\"\xff\xfe:80\""}) {
            CPPUNIT_ASSERT_MESSAGE(value, !isServer("address", value));
        }
        for (const char *field : {"slots", "born"}) {
            for (const char *value : {"1e400",
                                      "1e300",
                                      "-1",
                                      "18446744073709551616",
                                      "99999999999999999999999",
                                      "1.5",
                                      "\"8\"",
                                      "true",
                                      "[]",
                                      "{}",
                                      "null"}) {
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}", field, value), !isServer(field, value));
            }
        }
        CPPUNIT_ASSERT(!isServer("slots", "4294967296") && !isServer("slots", "0"));
        for (const char *value : {R"({"name":"g","rank":-1})",
                                  R"({"name":"g","rank":4294967296})",
                                  R"({"name":"g","rank":1e300})",
                                  R"({"name":"g","rank":"3"})",
                                  R"({"name":7})",
                                  R"({"name":"g","rank":3,"epoch":-1})",
                                  R"({"name":"g","state":[]})"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !isServer("group", value));
        }
        for (const char *field : {"service", "zone", "state"}) {
            for (const char *value : {"7", "null", "{}", "\"\xff\"", ""}) {
                CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}", field, value), !isServer(field, value));
            }
        }
        CPPUNIT_ASSERT(!isServer("state", R"("gone")"));
    }

    void soundAnnouncementIsRead()
    {
        const auto record = readPlatformServer("servers/i-1", announcement());
        CPPUNIT_ASSERT(record && record.value->slots == 8 && record.value->rank == 3);
        CPPUNIT_ASSERT(isServer("slots", "") && isServer("born", "") && isServer("group", ""));
        CPPUNIT_ASSERT(isServer("group", "null"));
    }

    /** Keys and values come from other writers as well, so one of them must not have the whole list ignored. */
    void oddItemOfAPageLeavesTheOthers()
    {
        for (const auto &odd : {item("7", "\"AAAA\""),
                                item("\"servers/x\"", "7"),
                                item("\"servers/x\"", "\"A\""),
                                item("\"servers/x\"", "\"====\""),
                                item("\"servers/x\"", "\"  ==\""),
                                std::string(R"({"revision":1})"),
                                std::string(R"({"key":"servers/x","deleted":7})"),
                                std::string("7"),
                                std::string("null"),
                                deepText(),
                                item("\"servers/x\"", "\"" + std::string(4U << 20U, 'A') + "\"")}) {
            const auto page = readPlatformPage(R"({"current_rev":9,"items":[)" + item("\"servers/a\"", "\"YQ==\"") + ","
                                               + odd + "," + item("\"servers/b\"", "\"Yg==\"") + "]}");
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 80) + ": " + page.reason, page);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), page.value->items.front().value);
            CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), page.value->items.back().key);
            // What it names is in use no longer, as after any announcement that cannot be read.
            for (const auto &it : page.value->items) {
                CPPUNIT_ASSERT(it.key != "servers/x" || !readPlatformServer(it.key, it.value));
            }
        }
    }

    void pageThatIsNoListIsRejected()
    {
        for (const char *text : {"",
                                 "7",
                                 "{}",
                                 R"({"current_rev":1})",
                                 R"({"current_rev":-1,"items":[]})",
                                 R"({"current_rev":1e300,"items":[]})",
                                 R"({"current_rev":1,"items":7})"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readPlatformPage(text));
        }
    }

    void oddConfigurationIsRejected()
    {
        for (const char *text : {R"({"version":-1})",
                                 R"({"version":1e400})",
                                 R"({"version":"1"})",
                                 R"({"version":1,"routes":[7]})",
                                 R"({"version":1,"routes":[{"name":"r"}]})",
                                 R"({"version":1,"tenants":[{"name":"t","api_keys":7}]})",
                                 "\"\xff\""}) {
            CPPUNIT_ASSERT_MESSAGE(text, !readPlatformConfig(text));
        }
    }

    void oddAnswersOfRanksAreRejected()
    {
        const auto dialect = platformRankDialect();
        const auto state = [&](const std::string &size, const std::string &rank) {
            return dialect.readState(fmt::format(
                R"({{"group":{{"name":"g","epoch":1,"rank":{},"state":"open"}},"size":{},"step":5}})", rank, size));
        };
        CPPUNIT_ASSERT(state("12", "3"));
        for (const char *value : {"-1", "4294967296", "1e300", "\"3\"", "[]", "null", "1000000000"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !state(value, "3"));
            CPPUNIT_ASSERT_MESSAGE(value, !state("12", value));
        }
        CPPUNIT_ASSERT(!state("12", "12") && !state("0", "0"));
        CPPUNIT_ASSERT(!dialect.readCounts(R"({"epoch":1,"counts":[-1]})"));
        CPPUNIT_ASSERT(!dialect.readCounts(R"({"epoch":1,"counts":[1e300]})"));
    }

    void oddInstanceLeavesTheOthers()
    {
        const std::string sound = R"({"name":"a","role":"entry","domain":"d","address":"127.0.0.1:1","state":"live"})";
        for (const auto &odd :
             {std::string("7"),
              std::string("{}"),
              std::string(R"({"name":7})"),
              deepText(),
              std::string(R"({"name":"b","role":"entry","domain":"d","address":"127.0.0.1:1","state":7})")}) {
            const auto list = parseInstances(fmt::format("[{},{}]", odd, sound));
            CPPUNIT_ASSERT_MESSAGE(odd.substr(0, 80), list && list.value->size() == 1);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddInputTest);
