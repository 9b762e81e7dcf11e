#pragma once

#include "expert_balancer.h"
#include "map_switch.h"
#include "rank_load.h"
#include "rank_news.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

/** Ways to the agents of the ranks of a group. Handlers are never called from within a call. */
struct GroupLink
{
    using NewsHandler = std::function<void(std::optional<GroupNews> news)>;
    using OrderHandler = std::function<void(std::optional<OrderAnswer> answer)>;

    std::function<void(const RankQuestion &question, NewsHandler handler)> askNews; ///< Of the first rank's agent.
    std::function<void(std::uint32_t rank, const RankOrder &order, OrderHandler handler)> sendOrder;
};

/**
 * Balances the experts of one group: collects counts, decides on a new map and switches to it. Runs beside the rank that
 * holds the group; the agents of the other ranks only answer. Keeps nothing that it cannot learn again from the ranks.
 *
 * Ranks are asked in blocks of about the square root of their number, through the agent of the first one, which adds up
 * their counts: what the coordinator receives grows with the root of the group. A block whose agent fails is asked rank
 * by rank for a while.
 */
class GroupCoordinator
{
public:
    GroupCoordinator(const ExpertBalancerConfig &config,
                     const ExpertLayout &layout,
                     std::size_t ranks,
                     GroupLink link,
                     std::mt19937_64 &random);
    GroupCoordinator(const GroupCoordinator &) = delete;
    GroupCoordinator &operator=(const GroupCoordinator &) = delete;

    void tick(TimePoint now);

    /** Of ranks that were heard of lately. */
    GroupLoads loads() const;

    std::size_t ranks() const
    {
        return m_states.size();
    }

private:
    /** What is known of one rank. */
    struct Member
    {
        std::optional<RankState> state;
        TimePoint at{};
        HeldExperts held;
        bool isNew = false; ///< Not handed to the switch yet.
        bool isStale = false; ///< Stated before the map in use.
    };

    /** Ranks that are asked by one question. */
    struct Inquiry
    {
        std::uint32_t first = 0;
        std::uint32_t count = 1;
        bool isAsked = false;
        std::uint64_t phase = 0; ///< Value of m_phaseCount when it was asked.
        TimePoint choicesAt{}; ///< When counts are asked for again.
        TimePoint directUntil{}; ///< Until then its ranks are asked one by one.
    };

    void ask(TimePoint now);
    void ask(TimePoint now, Inquiry &inquiry);
    void onNews(Inquiry &inquiry, const RankQuestion &question, std::optional<GroupNews> news);
    void learnRank(TimePoint now, RankNews news, bool isEvidence);
    void driveSwitch(TimePoint now);
    void considerSwitch(TimePoint now);
    bool isSettled(TimePoint now) const;
    bool learnMap();
    void resumeSwitch(TimePoint now);
    MapNumber nextNumber();
    void endSwitch(TimePoint now);

    ExpertLayout m_layout;
    GroupLink m_link;
    std::mt19937_64 &m_random;
    ExpertBalancer m_balancer;
    std::vector<Member> m_states; ///< By rank.
    std::vector<Inquiry> m_blocks;
    std::vector<Inquiry> m_singles; ///< By rank.
    std::optional<MapSwitch> m_switch;
    std::uint64_t m_phaseCount = 0; ///< Phases of switches begun.
    std::optional<MapNumber> m_mapNumber; ///< Of m_map; nothing if the map in use is not known.
    LayerMaps m_map;
    bool m_needsHeld = false;
    std::uint64_t m_epoch = 0;
    TimePoint m_now{}; ///< Of the last tick.
    TimePoint m_askAt{};
    TimePoint m_considerAt{};
    TimePoint m_switchAt{};
    std::shared_ptr<int> m_life = std::make_shared<int>(0); ///< Handlers of a coordinator that is gone do nothing.
};

} // namespace turmericline
