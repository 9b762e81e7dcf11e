#pragma once

#include "expert_balancer.h"
#include "link_budget.h"
#include "map_switch.h"
#include "rank_load.h"
#include "rank_report.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

/** Connections to the agents of the ranks of a group. Handlers are always called asynchronously. */
struct GroupLink
{
    using ReportHandler = std::function<void(std::optional<GroupReport> report)>;
    /** @p answers: by rank, in the order of GroupOrder::ranks; nothing for a rank that did not answer. */
    using OrderHandler = std::function<void(OrderAnswers answers)>;

    /** Queries the agent of the first rank. */
    std::function<void(const RankQuery &query, ReportHandler handler)> queryRanks;
    /** Sends the order to the agent of the first rank, which passes it on to the others. */
    std::function<void(const GroupOrder &order, OrderHandler handler)> sendOrder;
};

struct GroupCoordinatorConfig
{
    ExpertBalancerConfig balancer;
    LinkBudget link{0}; ///< Of the instance of each agent.

    bool operator==(const GroupCoordinatorConfig &) const = default;
};

/**
 * Balances the experts of one group: collects counts, decides on a new map and switches to it. Runs in the agent of
 * rank coordinatorRank; the agents of the other ranks only answer queries and forward orders. All state can be rebuilt
 * from the ranks.
 *
 * Load pattern: many ranks with many experts behind slow links. Ranks are queried in blocks of about the square root of
 * the group size, through the agent of the first rank of the block, which adds up the counts; orders go the same way.
 * The traffic of the coordinator and of that agent thus grows with the square root of the group size, and the periods of
 * queries are such that it stays within a share of the link. If the first agent of a block does not answer, its ranks are
 * called one by one for a while, less often.
 *
 * Queries also carry the loads of all ranks, so that any agent can pass them on to the gateways near it.
 */
class GroupCoordinator
{
public:
    GroupCoordinator(const GroupCoordinatorConfig &config,
                     const ExpertLayout &layout,
                     std::size_t ranks,
                     GroupLink link,
                     std::mt19937_64 &random);
    GroupCoordinator(const GroupCoordinator &) = delete;
    GroupCoordinator &operator=(const GroupCoordinator &) = delete;

    void tick(TimePoint now);

    /** Loads of the ranks that have reported recently; nothing if none has. */
    std::optional<GroupLoads> loads() const;

    std::size_t ranks() const
    {
        return m_lastReports.size();
    }

private:
    /** Last report of one rank. */
    struct LastReport
    {
        std::optional<RankState> state;
        TimePoint receivedAt{};
        HeldExperts held;
        bool isNew = false; ///< Not passed to the switch yet.
        bool isStale = false; ///< Read before the map in use was activated.
    };

    /** Ranks that are covered by one query. */
    struct QueryTarget
    {
        std::uint32_t first = 0;
        std::uint32_t count = 1;
        bool isQueryPending = false;
        std::uint64_t phase = 0; ///< Value of m_phaseCount when the query was sent.
        bool carriesLoads = false; ///< Queries to the first agent of a block carry the loads of all ranks.
        TimePoint nextLoadsAt{}; ///< When the loads are to be sent next.
        TimePoint callRanksSinglyUntil{}; ///< Until then, the ranks of the block are called one by one.
    };

    std::vector<QueryTarget *> queryTargets(TimePoint now);
    void sendQueries(TimePoint now);
    void sendQuery(TimePoint now, QueryTarget &target, bool withChoices);
    void onGroupReport(QueryTarget &target, std::optional<GroupReport> report);
    void updateRank(TimePoint now, RankReport report, bool isFromCurrentPhase);
    void advanceSwitch(TimePoint now);
    void sendOrder(const GroupOrder &order);
    void sendToBlock(const GroupOrder &order);
    void onOrderAnswers(const GroupOrder &order, const OrderAnswers &answers);
    QueryTarget &blockOf(std::uint32_t rank);
    bool isOrderUrgent() const;
    void startOrResumeSwitch(TimePoint now);
    bool areStatesCurrent(TimePoint now) const;
    bool updateCurrentMap();
    void resumeSwitch(TimePoint now);
    MapNumber nextMapNumber();
    void endSwitch(TimePoint now);

    ExpertLayout m_layout;
    LinkBudget m_linkBudget;
    GroupLink m_link;
    std::mt19937_64 &m_random;
    ExpertBalancer m_balancer;
    std::vector<LastReport> m_lastReports; ///< By rank.
    std::vector<QueryTarget> m_blocks;
    std::vector<QueryTarget> m_singleRanks; ///< By rank.
    std::optional<MapSwitch> m_switch;
    std::uint64_t m_phaseCount = 0; ///< Number of switch phases begun so far.
    std::optional<MapNumber> m_mapNumber; ///< Of m_map; nothing if the map in use is unknown.
    LayerMaps m_map;
    bool m_needsHeldExperts = false;
    bool m_isProposalDue = false; ///< Something that a proposal depends on has changed since the last one.
    std::uint64_t m_epoch = 0;
    TimePoint m_now{}; ///< Time of the last tick.
    TimePoint m_nextQueryAt{};
    TimePoint m_nextChoicesAt{}; ///< When the next queries for counts are due.
    TimePoint m_nextProposalAt{};
    TimePoint m_switchStartedAt{};
    std::shared_ptr<int> m_aliveToken = std::make_shared<int>(0); ///< Handlers that outlive the coordinator do nothing.
};

} // namespace turmericline
