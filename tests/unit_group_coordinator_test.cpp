#include "group_coordinator.h"
#include "rank_codec.h"

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
    CPPUNIT_TEST(ordersGoThroughTheFirstAgentOfABlock);
    CPPUNIT_TEST(aMapOnTheWayIsNotSentAgain);
    CPPUNIT_TEST(trafficOfALargeGroupStaysWithinItsShareOfTheLink);
    CPPUNIT_TEST(loadsAreSentWithQueries);
    CPPUNIT_TEST(lostAnswersToOrdersDoNotMultiplyTheCalls);
    CPPUNIT_TEST(failedBlocksDoNotOverloadTheLink);
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
        std::function<void(std::optional<OrderAnswer>)> handler;
    };

    std::vector<PendingQuery> m_queries;
    std::vector<Order> m_orders; ///< An entry for each rank of each order.
    std::vector<std::vector<std::uint32_t>> m_sentOrders; ///< Ranks of each order.
    std::mt19937_64 m_random{1};
    TimePoint m_now{1'000s};
    std::unique_ptr<GroupCoordinator> m_coordinator;
    RankState m_state; ///< Reported by every rank, apart from the rank number.
    ExpertChoices m_choices{100'000, 10, 10, 10, 10, 10}; ///< In each report with choices.

    GroupLink link()
    {
        GroupLink link;
        link.queryRanks = [this](const RankQuery &query, GroupLink::ReportHandler handler) {
            m_queries.push_back({query, std::move(handler)});
        };
        link.sendOrder = [this](const GroupOrder &order, const GroupLink::OrderHandler &handler) {
            m_sentOrders.push_back(order.ranks);
            auto answers = std::make_shared<OrderAnswers>(order.ranks.size());
            auto pending = std::make_shared<std::size_t>(order.ranks.size());
            for (std::size_t n = 0; n < order.ranks.size(); ++n) {
                m_orders.push_back({order.ranks[n], order.order, [=](std::optional<OrderAnswer> answer) {
                                        (*answers)[n] = answer;
                                        if (--*pending > 0) {
                                            return;
                                        }
                                        // An agent that does not answer has no answers of others either.
                                        const bool isSilent
                                            = std::all_of(answers->begin(), answers->end(), [](const auto &it) {
                                                  return !it;
                                              });
                                        handler(isSilent ? OrderAnswers{} : *answers);
                                    }});
            }
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
            report.choices = m_choices;
        }
        return report;
    }

    void answerQueries()
    {
        for (const auto &it : std::exchange(m_queries, {})) {
            it.handler(report(it.query));
        }
    }

    static constexpr std::uint32_t largeGroup = 129;
    static constexpr std::uint32_t largeLayers = 16;
    static constexpr std::uint32_t largeExperts = 258;
    static constexpr double slowLinkMbps = 6;

    /** @p linkMbps: 0 for no limit, and for a demand that asks for a new map. */
    void startLargeGroup(double linkMbps)
    {
        GroupCoordinatorConfig config;
        config.link = LinkBudget(linkMbps);
        m_choices.assign(std::size_t{largeLayers} * largeExperts, 10'000);
        m_choices.front() = linkMbps > 0 ? 10'000 : 1'000'000;
        m_state = {};
        m_state.group = "g";
        m_state.epoch = 1;
        m_state.size = largeGroup;
        m_state.isOpen = true;
        m_state.pass = 10;
        m_coordinator = std::make_unique<GroupCoordinator>(
            config, ExpertLayout{largeLayers, largeExperts, 3, 2}, largeGroup, link(), m_random);
    }

    std::vector<Order> runUntil(RankOrderKind kind)
    {
        std::vector<Order> orders;
        for (int n = 0; n < 20 && orders.empty(); ++n) {
            tick();
            answerQueries();
            orders = takeOrders(kind);
        }
        return orders;
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

    /** Runs a switch up to the arm orders for both ranks and returns these. @p isSingly: each rank is sent its own. */
    std::vector<Order> startArming(bool isSingly = false)
    {
        GroupCoordinatorConfig config;
        config.balancer.demand.blockCounts = 10;
        config.balancer.goalSkew = 1.05;
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
        if (isSingly) {
            tick();
            for (const auto &it : std::exchange(m_queries, {})) {
                it.handler(std::nullopt);
            }
        }
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
        const auto arms = startArming(true);
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
            GroupCoordinatorConfig{}, ExpertLayout{1, 6, 5, 2}, ranks, link(), m_random);
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_queries.size());
        CPPUNIT_ASSERT_EQUAL(2U, m_queries[0].query.count);
        std::exchange(m_queries, {})[0].handler(std::nullopt);
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_queries.size());
        CPPUNIT_ASSERT_EQUAL(1U, m_queries[1].query.first);
    }

    /** Sent to each rank by the coordinator, a map for 129 ranks took a second on a link of 6 Mbit/s. */
    void ordersGoThroughTheFirstAgentOfABlock()
    {
        startLargeGroup(0);
        const auto prepares = runUntil(RankOrderKind::Prepare);
        CPPUNIT_ASSERT_EQUAL(std::size_t{largeGroup}, prepares.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, m_sentOrders.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, m_sentOrders.front().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, m_sentOrders.back().size());
        m_sentOrders.clear();
        // The first agent of the second block does not answer, so its ranks are called one by one.
        for (const auto &it : prepares) {
            const bool isLost = it.rank >= 12 && it.rank < 24;
            it.handler(isLost ? std::nullopt : std::optional(OrderAnswer::Accepted));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, m_sentOrders.size());
        CPPUNIT_ASSERT(m_sentOrders.front() == std::vector<std::uint32_t>{12});
    }

    /** On a slow link, a repeated order waits behind the first one and delays all others. */
    void aMapOnTheWayIsNotSentAgain()
    {
        startLargeGroup(0);
        const auto prepares = runUntil(RankOrderKind::Prepare);
        CPPUNIT_ASSERT(!prepares.empty());
        for (int n = 0; n < 20; ++n) {
            tick();
            answerQueries();
        }
        CPPUNIT_ASSERT(takeOrders(RankOrderKind::Prepare).empty());
        for (const auto &it : prepares) {
            it.handler(std::nullopt);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{largeGroup}, takeOrders(RankOrderKind::Prepare).size());
    }

    /** Counts of 16 layers and 258 experts from 129 ranks, ten times a second, exceeded a link of 6 Mbit/s. */
    void trafficOfALargeGroupStaysWithinItsShareOfTheLink()
    {
        constexpr std::size_t headBytes = 300; // Of the query and its answer.
        startLargeGroup(slowLinkMbps);
        std::size_t bytes = 0;
        constexpr int seconds = 10;
        for (int n = 0; n < seconds * 50; ++n) {
            m_now += 20ms;
            m_coordinator->tick(m_now);
            for (const auto &it : std::exchange(m_queries, {})) {
                auto answer = report(it.query);
                bytes += encodeGroupReport(answer).size() + headBytes;
                it.handler(std::move(answer));
            }
            CPPUNIT_ASSERT(takeOrders(RankOrderKind::Prepare).empty());
        }
        CPPUNIT_ASSERT(static_cast<double>(bytes) / seconds < 0.5 * slowLinkMbps * 125'000);
        CPPUNIT_ASSERT(static_cast<double>(bytes) / seconds > 0.1 * slowLinkMbps * 125'000);
    }

    /** Runs for @p time and returns the bytes a second of queries and their answers, with @p isAnswered or without. */
    double queryTraffic(std::chrono::milliseconds time, bool isAnswered)
    {
        constexpr std::size_t headBytes = 300; // Of the query and its answer.
        std::size_t bytes = 0;
        for (const auto end = m_now + time; m_now < end;) {
            m_now += 20ms;
            m_coordinator->tick(m_now);
            for (const auto &it : std::exchange(m_queries, {})) {
                const bool isLost = !isAnswered && it.query.count > 1;
                auto answer = report(it.query);
                bytes += headBytes + (isLost ? 0 : encodeGroupReport(answer).size());
                it.handler(isLost ? std::nullopt : std::optional(std::move(answer)));
            }
        }
        return static_cast<double>(bytes) / std::chrono::duration<double>(time).count();
    }

    /**
     * With one order in ten unanswered, most blocks had a rank without an answer. All ranks were then called one by one,
     * fifty times a second, which the link could not carry, so that answers were lost for good.
     */
    void lostAnswersToOrdersDoNotMultiplyTheCalls()
    {
        startLargeGroup(slowLinkMbps);
        m_choices.front() = 1'000'000;
        const auto prepares = runUntil(RankOrderKind::Prepare);
        CPPUNIT_ASSERT_EQUAL(std::size_t{largeGroup}, prepares.size());
        m_sentOrders.clear();
        for (const auto &it : prepares) {
            it.handler(it.rank % 10 == 3 ? std::nullopt : std::optional(OrderAnswer::Accepted));
        }
        // The ranks that gave no answer are sent the order again, block by block.
        CPPUNIT_ASSERT_EQUAL(std::size_t{13}, takeOrders(RankOrderKind::Prepare).size());
        CPPUNIT_ASSERT(m_sentOrders.size() <= 11);
        CPPUNIT_ASSERT(queryTraffic(1s, true) < 0.6 * slowLinkMbps * 125'000);
    }

    /** Calls to each rank cost more than those to blocks, so they have to be fewer. */
    void failedBlocksDoNotOverloadTheLink()
    {
        startLargeGroup(slowLinkMbps);
        const double bytesPerSecond = queryTraffic(20s, false);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytesPerSecond), bytesPerSecond < 0.6 * slowLinkMbps * 125'000);
        // All ranks still report.
        CPPUNIT_ASSERT(m_coordinator->loads()->ranks.back());
    }

    /** Gateways get the loads from any agent, so that the coordinator does not answer all of them. */
    void loadsAreSentWithQueries()
    {
        startLargeGroup(0);
        tick();
        CPPUNIT_ASSERT(!m_queries.front().query.loads);
        m_state.running = 3;
        answerQueries();
        tick();
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, m_queries.size());
        for (const auto &it : m_queries) {
            CPPUNIT_ASSERT(it.query.loads && it.query.loads->ranks.size() == largeGroup);
            CPPUNIT_ASSERT(it.query.loads->age == 110ms);
            CPPUNIT_ASSERT_EQUAL(3U, it.query.loads->ranks[128]->running);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupCoordinatorTest);
