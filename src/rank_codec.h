#pragma once

#include "rank_news.h"
#include "verdict_type.h"

#include <string>
#include <string_view>

namespace turmericline {

/** Encodes messages between expert agents as MessagePack with a format number. Decoding never throws. */
std::string encodeGroupNews(const GroupNews &report);
Result<GroupNews> decodeGroupNews(std::string_view bytes);
std::string encodeRankOrder(const RankOrder &order);
Result<RankOrder> decodeRankOrder(std::string_view bytes);
/** Encodes the query string of a request target. */
std::string encodeRankQuestion(const RankQuestion &query);
Result<RankQuestion> decodeRankQuestion(std::string_view text);

} // namespace turmericline
