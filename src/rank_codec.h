#pragma once

#include "rank_report.h"
#include "verdict_type.h"

#include <string>
#include <string_view>

namespace turmericline {

/** Encodes messages between expert agents as MessagePack with a format number. Decoding never throws. */
std::string encodeGroupReport(const GroupReport &report);
Result<GroupReport> decodeGroupReport(std::string_view bytes);
std::string encodeRankOrder(const RankOrder &order);
Result<RankOrder> decodeRankOrder(std::string_view bytes);
/** Encodes the query string of a request target. */
std::string encodeRankQuery(const RankQuery &query);
Result<RankQuery> decodeRankQuery(std::string_view text);

} // namespace turmericline
