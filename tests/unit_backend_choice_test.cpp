#include "backend_choice.h"
#include "backend_table.h"
#include "rank_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <vector>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t servers = 63;
constexpr std::size_t rounds = 200;
constexpr std::size_t arrivalsPerRound = 30; ///< Requests of all gateways while a load report is in transit.
constexpr double servedPerRound = 0.48; ///< Requests that a server completes in that time.

/**
 * Simulates many gateways that choose by the loads of the previous round; returns the mean of the largest load.
 * @p arrivals is passed to each choice; 0 is the baseline, which takes the least loaded server.
 */
double meanLargestLoad(double arrivals)
{
    std::mt19937_64 random(7);
    std::vector<double> loads(servers, 5.0);
    double sum = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto stale = loads;
        for (std::size_t n = 0; n < arrivalsPerRound; ++n) {
            loads[chooseByWaterFilling(stale, arrivals, random)] += 1;
        }
        for (auto &it : loads) {
            it = std::max(0.0, it - servedPerRound);
        }
        sum += *std::max_element(loads.begin(), loads.end());
    }
    return sum / static_cast<double>(rounds);
}

} // namespace

/**
 * Guards against herding: gateways that choose by the same stale load reports must not send their requests to one rank,
 * which would slow down all ranks of its group.
 */
class BackendChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendChoiceTest);
    CPPUNIT_TEST(staleLoadsDoNotCauseHerding);
    CPPUNIT_TEST(choosesLeastLoadedWithoutArrivals);
    CPPUNIT_TEST(fillsLeastLoadedToCommonLevel);
    CPPUNIT_TEST(countsRequestsSentAfterQuery);
    CPPUNIT_TEST(slowRankGetsFewerRequests);
    CPPUNIT_TEST(refusesWhenRankQueueIsFull);
    CPPUNIT_TEST(findsRanksOfAGroup);
    CPPUNIT_TEST(olderLoadsAreIgnored);
    CPPUNIT_TEST(cachedLoadsAge);
    CPPUNIT_TEST(rankWithoutReportGetsNoRequests);
    CPPUNIT_TEST(requestsThatWouldWaitTooLongAreRefused);
    CPPUNIT_TEST(groupLoadsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{1'000s};
    std::mt19937_64 m_random{3};

    static BackendRecord record(std::uint32_t rank)
    {
        BackendRecord it;
        it.id = "r" + std::to_string(rank);
        it.service = "s";
        it.address = "10.0.0." + std::to_string(rank + 1) + ":80";
        it.domain = "near";
        it.group = "g";
        it.rank = rank;
        return it;
    }

public:
    void staleLoadsDoNotCauseHerding()
    {
        const double taken = meanLargestLoad(static_cast<double>(arrivalsPerRound));
        const double baseline = meanLargestLoad(0);
        CPPUNIT_ASSERT(taken < 0.6 * baseline);
    }

    void choosesLeastLoadedWithoutArrivals()
    {
        const std::vector<double> loads{3, 1, 2, 1.4};
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chooseByWaterFilling(loads, 0, m_random));
        }
    }

    /** Four arrivals fill the loads 0, 1 and 2 up to a level of 7/3; the load 5 is above it and gets none. */
    void fillsLeastLoadedToCommonLevel()
    {
        const std::vector<double> loads{0, 1, 2, 5};
        std::vector<int> taken(loads.size(), 0);
        constexpr int draws = 12'000;
        for (int n = 0; n < draws; ++n) {
            ++taken[chooseByWaterFilling(loads, 4, m_random)];
        }
        CPPUNIT_ASSERT_EQUAL(0, taken[3]);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0 / 12, taken[0] / double{draws}, 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0 / 12, taken[1] / double{draws}, 0.03);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 12, taken[2] / double{draws}, 0.03);
    }

    /** A load report does not include requests that were sent after the query. */
    void countsRequestsSentAfterQuery()
    {
        BackendTable table("near");
        table.upsert(record(0));
        table.onStart("r0");
        table.onGroupLoadsQueried("g");
        table.onStart("r0");
        table.onStart("r0");
        const std::vector<std::optional<BackendLoad>> loads{BackendLoad{4, 1}};
        table.onGroupLoads(m_now, "g", loads);
        // Five requests at the rank include one of this gateway, which has sent two more since the query.
        CPPUNIT_ASSERT_EQUAL(4.0, table.find("r0")->othersInFlight);
        CPPUNIT_ASSERT_EQUAL(3U, table.find("r0")->inFlight);
    }

    /** A rank with a pace of 2 takes twice the usual time and delays the others unless it gets fewer requests. */
    void slowRankGetsFewerRequests()
    {
        BackendTable table("near");
        for (std::uint32_t rank = 0; rank < 2; ++rank) {
            auto server = record(rank);
            server.slots = 200;
            table.upsert(server);
        }
        const std::vector<std::optional<BackendLoad>> loads{BackendLoad{0, 0, 2.0}, BackendLoad{6, 0, 1.0}};
        table.onGroupLoadsQueried("g");
        table.onGroupLoads(m_now, "g", loads);
        for (int n = 0; n < 100; ++n) {
            const auto pick = table.choose(m_now, "s", {}, m_random);
            table.onStart(pick->server.id);
        }
        CPPUNIT_ASSERT(table.find("r0")->inFlight < 45);
        CPPUNIT_ASSERT(table.find("r0")->inFlight > 15);
    }

    /** A request is refused if it could not start within the latency objective, and only then. */
    void refusesWhenRankQueueIsFull()
    {
        BackendTable table("near");
        auto server = record(0);
        server.slots = 10;
        table.upsert(server);
        table.onGroupLoadsQueried("g");
        const std::vector<std::optional<BackendLoad>> full{BackendLoad{10, 2}};
        table.onGroupLoads(m_now, "g", full);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, m_random));
        // The report is too old to refuse a request because of it.
        CPPUNIT_ASSERT(table.choose(m_now + 1s, "s", {}, m_random));
        const std::vector<std::optional<BackendLoad>> busy{BackendLoad{10, 1}};
        table.onGroupLoads(m_now, "g", busy);
        CPPUNIT_ASSERT(table.choose(m_now, "s", {}, m_random));
    }

    void findsRanksOfAGroup()
    {
        BackendTable table("near");
        table.upsert(record(0));
        table.upsert(record(1));
        auto plain = record(0);
        plain.id = "plain";
        plain.group.clear();
        table.upsert(plain);
        CPPUNIT_ASSERT(table.groups() == std::vector<std::string>{"g"});
        std::set<std::string> chosen;
        for (int n = 0; n < 50; ++n) {
            chosen.insert(table.chooseNearRank("g", m_random)->id);
        }
        CPPUNIT_ASSERT(chosen == std::set<std::string>({"r0", "r1"}));
        auto far = record(2);
        far.domain = "far";
        table.upsert(far);
        for (int n = 0; n < 50; ++n) {
            CPPUNIT_ASSERT(table.chooseNearRank("g", m_random)->id != "r2");
        }
        table.remove("r0");
        table.remove("r1");
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), table.chooseNearRank("g", m_random)->id);
        CPPUNIT_ASSERT(table.chooseNearRank("other", m_random) == nullptr);
    }

    /** An agent that is cut off from the coordinator keeps passing on the last loads that it had. */
    void olderLoadsAreIgnored()
    {
        BackendTable table("near");
        table.upsert(record(0));
        table.onGroupLoadsQueried("g");
        const std::vector<std::optional<BackendLoad>> fresh{BackendLoad{7, 0}};
        const std::vector<std::optional<BackendLoad>> old{BackendLoad{1, 0}};
        table.onGroupLoads(m_now, "g", fresh);
        table.onGroupLoads(m_now - 300ms, "g", old);
        CPPUNIT_ASSERT_EQUAL(7.0, table.find("r0")->othersInFlight);
    }

    /** A rank whose agent was silent seemed to become idle, so that all gateways sent their requests there. */
    void rankWithoutReportGetsNoRequests()
    {
        BackendTable table("near");
        for (std::uint32_t rank = 0; rank < 4; ++rank) {
            table.upsert(record(rank));
        }
        const std::vector<std::optional<BackendLoad>> loads{
            BackendLoad{3, 0}, BackendLoad{3, 0}, std::nullopt, BackendLoad{3, 0}};
        const std::vector<std::optional<BackendLoad>> before(4, BackendLoad{3, 0});
        table.onGroupLoads(m_now, "g", before);
        table.onGroupLoads(m_now + 100ms, "g", loads);
        for (int n = 0; n < 100; ++n) {
            CPPUNIT_ASSERT(table.choose(m_now + 150ms, "s", {}, m_random)->server.id != "r2");
        }
        // Without reports of most ranks, all can be chosen, as without reports at all.
        const std::vector<std::optional<BackendLoad>> few{BackendLoad{3, 0}, std::nullopt, std::nullopt, std::nullopt};
        table.onGroupLoads(m_now + 200ms, "g", few);
        std::set<std::string> chosen;
        for (int n = 0; n < 100; ++n) {
            const auto pick = table.choose(m_now + 250ms, "s", {}, m_random);
            table.onStart(pick->server.id);
            chosen.insert(pick->server.id);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, chosen.size());
    }

    /** Load at which all slots are taken: one more request waits for a sixth of the serving time. */
    void requestsThatWouldWaitTooLongAreRefused()
    {
        BackendTable table("near");
        auto server = record(0);
        server.slots = 6;
        table.upsert(server);
        table.onSuccess("r0", 2'000ms);
        const auto isTaken = [&](std::uint32_t waiting, std::chrono::milliseconds target) {
            const std::vector<std::optional<BackendLoad>> loads{BackendLoad{6, waiting}};
            table.onGroupLoads(m_now, "g", loads);
            return table.choose(m_now, "s", {}, m_random, target).has_value();
        };
        CPPUNIT_ASSERT(isTaken(0, 600ms));
        CPPUNIT_ASSERT(!isTaken(1, 600ms));
        CPPUNIT_ASSERT(isTaken(1, 1'200ms));
        CPPUNIT_ASSERT(!isTaken(2, 1'200ms));
        // Short streams free their slots sooner.
        for (int n = 0; n < 200; ++n) {
            table.onSuccess("r0", 200ms);
        }
        CPPUNIT_ASSERT(isTaken(8, 600ms));
    }

    void cachedLoadsAge()
    {
        GroupLoadCache cache;
        CPPUNIT_ASSERT(!cache.get(m_now));
        cache.store(m_now, {"g", {BackendLoad{3, 0}}, 200ms});
        CPPUNIT_ASSERT(cache.get(m_now + 100ms)->age == 300ms);
        // Loads that were read before the cached ones, but arrive later.
        cache.store(m_now + 100ms, {"g", {BackendLoad{1, 0}}, 350ms});
        CPPUNIT_ASSERT_EQUAL(3U, cache.get(m_now + 100ms)->ranks[0]->running);
        cache.store(m_now + 100ms, {"g", {BackendLoad{2, 0}}, 50ms});
        CPPUNIT_ASSERT_EQUAL(2U, cache.get(m_now + 100ms)->ranks[0]->running);
        CPPUNIT_ASSERT(!cache.get(m_now + 2s));
    }

    void groupLoadsRoundTrip()
    {
        const GroupLoads loads{"g", {BackendLoad{3, 2, 1.5}, std::nullopt, BackendLoad{300, 0}}, 120ms};
        const auto back = decodeGroupLoads(encodeGroupLoads(loads));
        CPPUNIT_ASSERT(back && back.value->group == "g" && back.value->ranks.size() == 3);
        CPPUNIT_ASSERT(back.value->ranks[0]->running == 3 && back.value->ranks[0]->waiting == 2);
        CPPUNIT_ASSERT_EQUAL(1.5, back.value->ranks[0]->pace);
        CPPUNIT_ASSERT(!back.value->ranks[1]);
        CPPUNIT_ASSERT_EQUAL(254U, back.value->ranks[2]->running);
        CPPUNIT_ASSERT(back.value->age == 120ms);
        CPPUNIT_ASSERT(!decodeGroupLoads("nonsense"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendChoiceTest);
