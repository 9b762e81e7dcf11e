#include "backend_registry.h"
#include "log.h"
#include "platform_dialect.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against facts about servers that an older state of the store undoes, and against live servers being held for long. */
class BackendRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendRegistryTest);
    CPPUNIT_TEST(leavingServerStaysLeaving);
    CPPUNIT_TEST(leaveEndsWithTheIncarnation);
    CPPUNIT_TEST(announcementOfEarlierStartIsIgnored);
    CPPUNIT_TEST(announcementWithoutStartDoesNotUndoLeave);
    CPPUNIT_TEST(removedServerIsHeldInNewEra);
    CPPUNIT_TEST(heldServerIsDroppedWithItsAnnouncement);
    CPPUNIT_TEST(heldServerThatStaysAnnouncedIsUsed);
    CPPUNIT_TEST(heldServerMayStartAgain);
    CPPUNIT_TEST(serverThatLeftAndIsGoneStaysLeaving);
    CPPUNIT_TEST(removedServerMayComeBackInTheSameEra);
    CPPUNIT_TEST(serverThatCopyLacksIsKeptUntilItAnnouncesItselfAgain);
    CPPUNIT_TEST(burstOfChangesIsLoggedAsNumbers);
    CPPUNIT_TEST_SUITE_END();

    GatewayDialect m_dialect = platformDialect();
    BackendTable m_table{"z"};
    BackendRegistry m_registry{m_dialect, m_table};
    TimePoint m_now{1'000s};
    StorePosition m_position{1, 1};
    std::optional<StorePosition> m_replaced;

    static StoreItem server(const std::string &id, const std::string &state = "ready", int start = 1)
    {
        const auto born = start == 0 ? "" : R"(,"born":)" + std::to_string(start);
        return {"servers/" + id,
                R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":")" + state + "\"" + born + "}",
                false};
    }

    static StoreItem removal(const std::string &id)
    {
        return {"servers/" + id, "", true};
    }

    /** Returns the lines logged by @p action. */
    template<typename Action>
    static std::vector<nlohmann::json> linesOf(Action action)
    {
        std::ostringstream out;
        auto *former = std::cerr.rdbuf(out.rdbuf());
        initLog(LogLevel::Info, "test");
        action();
        initLog(LogLevel::Info, "");
        std::cerr.rdbuf(former);
        std::vector<nlohmann::json> lines;
        std::istringstream in(out.str());
        for (std::string line; std::getline(in, line);) {
            lines.push_back(nlohmann::json::parse(line));
        }
        return lines;
    }

    /** Returns the number of kept facts. */
    std::size_t apply(std::vector<StoreItem> items, bool isSnapshot)
    {
        ++m_position.revision;
        return m_registry.apply(
            m_now, {std::move(items), isSnapshot, m_position, std::exchange(m_replaced, std::nullopt)}, 0ms);
    }

    /** The store comes back from a copy with these items. */
    std::size_t restore(std::vector<StoreItem> items)
    {
        m_replaced = std::exchange(m_position, {*m_position.era + 1, 1});
        return apply(std::move(items), true);
    }

    void pass(std::chrono::milliseconds time)
    {
        m_now += time;
        m_registry.tick(m_now);
    }

    bool isUsed(const std::string &id) const
    {
        const auto *it = m_table.find(id);
        return it != nullptr && !it->record.isLeaving;
    }

public:
    void leavingServerStaysLeaving()
    {
        apply({server("a"), server("b")}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, apply({server("a", "draining")}, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restore({server("a"), server("b")}));
        CPPUNIT_ASSERT(!isUsed("a"));
        CPPUNIT_ASSERT(isUsed("b"));
        pass(60s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, apply({server("a")}, false));
        CPPUNIT_ASSERT(!isUsed("a"));
    }

    void leaveEndsWithTheIncarnation()
    {
        apply({server("a", "draining")}, true);
        apply({server("a", "ready", 2)}, false);
        CPPUNIT_ASSERT(isUsed("a"));
    }

    void announcementOfEarlierStartIsIgnored()
    {
        apply({server("a", "draining", 2)}, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restore({server("a", "ready", 1)}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, m_table.find("a")->record.startTimeMs);
        CPPUNIT_ASSERT(!isUsed("a"));
        apply({removal("a")}, false);
        pass(3s);
        CPPUNIT_ASSERT(m_table.find("a") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restore({server("a", "ready", 1)}));
        pass(60s);
        CPPUNIT_ASSERT(!isUsed("a"));
    }

    void announcementWithoutStartDoesNotUndoLeave()
    {
        apply({server("a", "draining", 2)}, true);
        apply({server("a", "ready", 0)}, false);
        CPPUNIT_ASSERT(!isUsed("a"));
        apply({server("a", "ready", 1)}, false);
        CPPUNIT_ASSERT(!isUsed("a"));
    }

    void removedServerIsHeldInNewEra()
    {
        apply({server("a"), server("b")}, true);
        apply({removal("a")}, false);
        pass(20s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, restore({server("a"), server("b")}));
        pass(4'900ms);
        CPPUNIT_ASSERT(m_table.find("a") == nullptr);
        CPPUNIT_ASSERT(isUsed("b"));
    }

    void heldServerIsDroppedWithItsAnnouncement()
    {
        apply({server("a"), server("b")}, true);
        apply({removal("a"), removal("b")}, false);
        restore({server("a"), server("b")});
        pass(1s);
        apply({removal("a")}, false);
        apply({}, true);
        pass(60s);
        CPPUNIT_ASSERT(m_table.ids().empty());
    }

    /** Its announcement had expired although it was alive. */
    void heldServerThatStaysAnnouncedIsUsed()
    {
        apply({server("a")}, true);
        apply({removal("a")}, false);
        restore({server("a")});
        pass(5s);
        CPPUNIT_ASSERT(isUsed("a"));
    }

    void heldServerMayStartAgain()
    {
        apply({server("a")}, true);
        apply({removal("a")}, false);
        restore({server("a")});
        apply({server("a", "ready", 2)}, false);
        CPPUNIT_ASSERT(isUsed("a"));
        pass(60s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, m_table.find("a")->record.startTimeMs);
    }

    void serverThatLeftAndIsGoneStaysLeaving()
    {
        apply({server("a", "draining")}, true);
        apply({removal("a")}, false);
        restore({server("a")});
        pass(5s);
        CPPUNIT_ASSERT(!isUsed("a"));
    }

    void removedServerMayComeBackInTheSameEra()
    {
        apply({server("a")}, true);
        apply({removal("a")}, false);
        apply({server("a")}, false);
        CPPUNIT_ASSERT(isUsed("a"));
    }

    void serverThatCopyLacksIsKeptUntilItAnnouncesItselfAgain()
    {
        apply({server("a"), server("b")}, true);
        restore({});
        pass(2'200ms);
        CPPUNIT_ASSERT(isUsed("a"));
        apply({server("a")}, false);
        pass(200ms);
        CPPUNIT_ASSERT(isUsed("a"));
        CPPUNIT_ASSERT(m_table.find("b") == nullptr);
    }

    /** With 149 gateways and 129 servers, lines for each change at each gateway were most of the logs. */
    void burstOfChangesIsLoggedAsNumbers()
    {
        constexpr std::size_t servers = 200;
        constexpr std::size_t rounds = 20;
        const auto nameOfServer = [](std::size_t n) {
            return "i-" + std::to_string(n);
        };
        const auto lines = linesOf([&] {
            std::vector<StoreItem> all;
            for (std::size_t n = 0; n < servers; ++n) {
                all.push_back(server(nameOfServer(n)));
            }
            apply(std::move(all), true);
            for (std::size_t round = 0; round < rounds; ++round) {
                for (std::size_t n = 0; n < servers; ++n) {
                    m_now += 5ms;
                    apply({server(nameOfServer(n), "ready", static_cast<int>(round) + 2)}, false);
                }
            }
            apply({removal("i-0")}, false);
            m_now += 10s;
            m_registry.tick(m_now);
        });
        std::size_t announced = 0;
        std::size_t changed = 0;
        std::size_t gone = 0;
        for (const auto &it : lines) {
            const bool isNumbers = it.at("message") == "several servers changed";
            announced += isNumbers ? it.at("announced").get<std::size_t>() : it.at("message") == "server announced";
            changed += isNumbers ? it.at("changed").get<std::size_t>() : it.at("message") == "server changed";
            gone += isNumbers ? it.at("gone").get<std::size_t>() : it.at("message") == "server gone";
        }
        // Each change is in one line or in one number; 20 s allow a burst of each kind of line and 3 a second.
        CPPUNIT_ASSERT_EQUAL(servers, announced);
        CPPUNIT_ASSERT_EQUAL(servers * rounds, changed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gone);
        CPPUNIT_ASSERT(lines.size() < 120);
        // Few changes are told one by one.
        const auto single = linesOf([&] {
            apply({server("new")}, false);
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, single.size());
        CPPUNIT_ASSERT(single.front().at("message") == "server announced" && single.front().at("server") == "new");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendRegistryTest);
