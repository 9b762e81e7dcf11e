#pragma once

#include "rank_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace turmericline {

/** What the agent of a rank tells of it. */
struct RankNews
{
    RankState state;
    HeldExperts held; ///< Empty unless asked for.
};

/** What the agents of some ranks of a group tell. */
struct GroupNews
{
    std::vector<RankNews> ranks; ///< Those that answered.
    /** How often their requests chose each expert since they were last asked, layer by layer; empty unless asked for. */
    ExpertChoices choices;
};

/** Asks an agent about @c count ranks from @c first on; its own rank is the first one. */
struct RankQuestion
{
    std::uint32_t first = 0;
    std::uint32_t count = 1;
    bool withChoices = false;
    bool withHeld = false;
};

/** Ranks that one agent may be asked about: the square root of the largest group. */
inline constexpr std::uint32_t maxRanksOfQuestion = 64;

/** Adds @p more to @p news. */
void merge(GroupNews &news, GroupNews more);

/** Turns the growing counts of one rank into the choices since the last reading. */
class ChoiceMeter
{
public:
    /** The first reading, and the first one with another number of experts, only sets the start. */
    ExpertChoices since(const RankCounts &counts);

private:
    std::optional<RankCounts> m_last;
};

} // namespace turmericline
