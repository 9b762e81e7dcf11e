#include "config_sync_codec.h"
#include "health_sync.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards the exchange of suspicions: oversized or malformed fields, own reports, and reports that are never sent. */
class HealthSyncTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HealthSyncTest);
    CPPUNIT_TEST(codecKeepsReportsAndBound);
    CPPUNIT_TEST(rejectsInvalidFields);
    CPPUNIT_TEST(twoNeighboursSuspect);
    CPPUNIT_TEST(sendsAllInTurnWithinTheSizeLimit);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};

    static std::string nameOf(int server)
    {
        return "s" + std::to_string(server);
    }

    ServerSelector makeSelector(int servers) const
    {
        Document document;
        const auto service = document.services.add({"m", ServiceKind::Model, "m", {}, true, {}});
        for (int i = 0; i < servers; ++i) {
            document.servers.add({nameOf(i), service, "a", "", ServerState::Active, false, false, 8});
        }
        ServerSelector selector("a", {}, 1);
        selector.setDocument(m_now, document);
        return selector;
    }

    void fail(ServerSelector &selector, int server) const
    {
        for (unsigned i = 0; i < HealthConfig{}.failuresToSuspect; ++i) {
            selector.onFailure(m_now, nameOf(server));
        }
    }

    void codecKeepsReportsAndBound()
    {
        HealthReports reports{7, {}};
        for (std::uint64_t i = 0; i < 40; ++i) {
            reports.reports.push_back({~i, ~i, HealthState::Suspected});
        }
        const auto bytes = toMessagePack(encodeHealthReports(reports));
        CPPUNIT_ASSERT(bytes.size() <= 12 + 20 * maxHealthReports);
        const auto read = decodeHealthReports(fromMessagePack(bytes));
        CPPUNIT_ASSERT(read && read->reporter == 7 && read->reports.size() == maxHealthReports);
        CPPUNIT_ASSERT_EQUAL(~std::uint64_t{31}, read->reports[31].server);
        CPPUNIT_ASSERT_EQUAL(~std::uint64_t{31}, read->reports[31].incarnation);
    }

    void rejectsInvalidFields()
    {
        auto selector = makeSelector(1);
        HealthSync sync(1, selector);
        auto tooMany = nlohmann::json::array({2U});
        for (std::size_t i = 0; i <= maxHealthReports; ++i) {
            tooMany.push_back({1U, 1U, 3U});
        }
        CPPUNIT_ASSERT(!sync.mergeReports(m_now, tooMany));
        for (const char *text :
             {"null", "[]", "{}", "[0]", "[-1]", "[2,3]", "[2,[1,1]]", "[2,[1,1,5]]", "[2,[1,-1,3]]"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !sync.mergeReports(m_now, nlohmann::json::parse(text)));
        }
    }

    void twoNeighboursSuspect()
    {
        auto selector = makeSelector(3);
        auto neighbour = makeSelector(3);
        fail(neighbour, 1);
        HealthSync own(1, selector);
        CPPUNIT_ASSERT(own.gossip(1200).is_null());
        for (const EntryKey reporter : {1U, 2U}) {
            CPPUNIT_ASSERT(own.mergeReports(m_now, HealthSync(reporter, neighbour).gossip(1200)));
            CPPUNIT_ASSERT(selector.state(m_now, "s1") == HealthState::Live);
        }
        CPPUNIT_ASSERT(own.mergeReports(m_now, HealthSync(3, neighbour).gossip(1200)));
        CPPUNIT_ASSERT(selector.state(m_now, "s1") == HealthState::Suspected);
        CPPUNIT_ASSERT(selector.state(m_now, "s2") == HealthState::Live);
        // Suspicions of others must not be forwarded, or entries would keep a false one alive between them.
        CPPUNIT_ASSERT(own.gossip(1200).is_null());
    }

    void sendsAllInTurnWithinTheSizeLimit()
    {
        constexpr int servers = 50;
        auto selector = makeSelector(servers);
        for (int i = 0; i < servers; ++i) {
            fail(selector, i);
        }
        HealthSync sync(1, selector);
        CPPUNIT_ASSERT(sync.gossip(31).is_null());
        std::set<ServerKey> seen;
        for (int round = 0; round < 4; ++round) {
            const auto field = sync.gossip(300);
            CPPUNIT_ASSERT(toMessagePack(field).size() <= 300);
            const auto read = decodeHealthReports(field);
            CPPUNIT_ASSERT(read.has_value());
            for (const auto &it : read->reports) {
                seen.insert(it.server);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{servers}, seen.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthSyncTest);
