#include "group_coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against releasing a hold too early: because of a report that was read before a rank was armed, or while an arm
 * order is in flight. Ranks would then begin a pass with different maps.
 */
class GroupCoordinatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupCoordinatorTest);
    CPPUNIT_TEST(staleReportsDoNotReleaseTheHold);
    CPPUNIT_TEST(pendingArmOrdersKeepTheHold);
    CPPUNIT_TEST(blocksAreQueriedOneByOneAfterAFailure);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t ranks = 2;

    struct PendingQuery
    {
        RankQuery query;
        GroupLink::ReportHandler handler;
    };

    struct Order
    {
        std::uint32_t rank = 0;
        RankOrder order;
        GroupLink::OrderHandler handler;
    };

    std::vector<PendingQuery> m_queries;
    std::vector<Order> m_orders;
    std::mt19937_64 m_random{1};
    TimePoint m_now{1'000s};
    std::unique_ptr<GroupCoordinator> m_coordinator;
    RankState m_state; ///< Reported by every rank, apart from the rank number.

    GroupLink link()
    {
        GroupLink link;
        link.queryRanks = [this](const RankQuery &query, GroupLink::ReportHandler handler) {
            m_queries.push_back({query, std::move(handler)});
        };
        link.sendOrder = [this](std::uint32_t rank, const RankOrder &order, GroupLink::OrderHandler handler) {
            m_orders.push_back({rank, order, std::move(handler)});
        };
        return link;
    }

    void tick()
    {
        m_now += 110ms;
        m_coordinator->tick(m_now);
    }

    GroupReport report(const RankQuery &query) const
    {
        GroupReport report;
        for (std::uint32_t n = 0; n < query.count; ++n) {
            report.ranks.push_back({m_state, {}});
            report.ranks.back().state.rank = query.first + n;
        }
        if (query.withChoices) {
            report.choices = {100'000, 10, 10, 10, 10, 10};
        }
        return report;
    }

    void answerQueries()
    {
        for (const auto &it : std::exchange(m_queries, {})) {
            it.handler(report(it.query));
        }
    }

    /** Removes and returns the unanswered orders of @p kind. */
    std::vector<Order> takeOrders(RankOrderKind kind)
    {
        std::vector<Order> taken;
        const auto isKind = [kind](const Order &it) {
            return it.order.kind == kind;
        };
        std::copy_if(m_orders.begin(), m_orders.end(), std::back_inserter(taken), isKind);
        std::erase_if(m_orders, isKind);
        return taken;
    }

    /** Runs a switch up to the arm orders for both ranks and returns these. */
    std::vector<Order> startArming()
    {
        ExpertBalancerConfig config;
        config.demand.blockCounts = 10;
        config.goalSkew = 1.05;
        m_state.group = "g";
        m_state.epoch = 1;
        m_state.size = ranks;
        m_state.isOpen = true;
        m_state.pass = 10;
        m_coordinator = std::make_unique<GroupCoordinator>(config, ExpertLayout{1, 6, 5, 2}, ranks, link(), m_random);
        std::vector<Order> prepares;
        for (int n = 0; n < 10 && prepares.empty(); ++n) {
            tick();
            answerQueries();
            prepares = takeOrders(RankOrderKind::Prepare);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ranks}, prepares.size());
        for (const auto &it : prepares) {
            it.handler(OrderAnswer::Accepted);
        }
        m_state.prepared = prepares.front().order.version;
        std::vector<Order> holds;
        for (int n = 0; n < 10 && holds.empty(); ++n) {
            tick();
            answerQueries();
            holds = takeOrders(RankOrderKind::Hold);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holds.size());
        // A query is in flight while the hold is answered and the arm orders are sent.
        tick();
        m_state.held = holds.front().order.pass;
        holds.front().handler(OrderAnswer::Accepted);
        return takeOrders(RankOrderKind::Arm);
    }

public:
    void staleReportsDoNotReleaseTheHold()
    {
        const auto arms = startArming();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ranks}, arms.size());
        arms[0].handler(OrderAnswer::Accepted);
        arms[1].handler(OrderAnswer::Refused);
        CPPUNIT_ASSERT(!takeOrders(RankOrderKind::Disarm).empty());
        // These reports were read before rank 0 was armed.
        answerQueries();
        tick();
        CPPUNIT_ASSERT(takeOrders(RankOrderKind::Go).empty());
        // These reports were read after the disarm order took effect.
        answerQueries();
        tick();
        CPPUNIT_ASSERT(!takeOrders(RankOrderKind::Go).empty());
    }

    void pendingArmOrdersKeepTheHold()
    {
        const auto arms = startArming();
        arms[1].handler(OrderAnswer::Refused);
        answerQueries();
        tick();
        answerQueries();
        tick();
        // The arm order for rank 0 is still in flight.
        CPPUNIT_ASSERT(takeOrders(RankOrderKind::Go).empty());
        arms[0].handler(OrderAnswer::Refused);
        tick();
        CPPUNIT_ASSERT(!takeOrders(RankOrderKind::Go).empty());
    }

    void blocksAreQueriedOneByOneAfterAFailure()
    {
        m_coordinator = std::make_unique<GroupCoordinator>(
            ExpertBalancerConfig{}, ExpertLayout{1, 6, 5, 2}, ranks, link(), m_random);
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_queries.size());
        CPPUNIT_ASSERT_EQUAL(2U, m_queries[0].query.count);
        std::exchange(m_queries, {})[0].handler(std::nullopt);
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_queries.size());
        CPPUNIT_ASSERT_EQUAL(1U, m_queries[1].query.first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupCoordinatorTest);
