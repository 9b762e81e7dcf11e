#pragma once

#include "rank_dialect.h"

#include <string>
#include <string_view>

namespace turmericline {

/** What the agent of a rank tells the coordinator of its group. */
struct RankNews
{
    RankState state;
    RankCounts counts;
    HeldExperts held; ///< Empty unless asked for.
};

/** Messages between expert agents: MessagePack with a format number. Decoding never throws. */
std::string encodeRankNews(const RankNews &news);
Result<RankNews> decodeRankNews(std::string_view bytes);
std::string encodeRankOrder(const RankOrder &order);
Result<RankOrder> decodeRankOrder(std::string_view bytes);

} // namespace turmericline
