#pragma once

#include "rank_load.h"
#include "rank_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericline {

/** Report of one rank, sent by its agent. */
struct RankReport
{
    RankState state;
    HeldExperts held; ///< Empty unless requested.
};

/** Combined report of several ranks of a group. */
struct GroupReport
{
    std::vector<RankReport> ranks; ///< Ranks that answered.
    /** Choices of their requests since the previous query; empty unless requested. */
    ExpertChoices choices;
};

/** Query to the agent of rank @c first about @c count ranks from @c first on. */
struct RankQuery
{
    std::uint32_t first = 0;
    std::uint32_t count = 1;
    bool withChoices = false;
    bool withHeld = false;
    std::optional<GroupLoads> loads; ///< Loads of the whole group, for the agents that the query reaches.
};

/** Most ranks per query: the square root of the largest supported group size. */
inline constexpr std::uint32_t maxRanksPerQuery = 64;

/** Number of ranks in each block of a group, but for the last one. */
std::uint32_t ranksPerBlock(std::size_t ranks);

/** Adds the ranks and choices of @p more to @p report. */
void merge(GroupReport &report, GroupReport more);

/** Converts the cumulative counts of one rank into the choices between two readings. */
class ChoiceCounter
{
public:
    /** Returns zeros for the first reading and when the number of experts changes, since there is no baseline. */
    ExpertChoices choicesSinceLast(const RankCounts &counts);

private:
    std::optional<RankCounts> m_last;
};

} // namespace turmericline
