#pragma once

#include "rank_report.h"
#include "verdict_type.h"

#include <string>
#include <string_view>

namespace turmericline {

/**
 * Encodes messages between expert agents as MessagePack with a format number. Decoding never throws.
 *
 * Choices take a byte each: they are rounded to multiples of a common unit, 1/255 of the largest one at most.
 */
std::string encodeGroupReport(const GroupReport &report);
Result<GroupReport> decodeGroupReport(std::string_view bytes);
std::string encodeRankOrder(const RankOrder &order);
Result<RankOrder> decodeRankOrder(std::string_view bytes);
/** Encodes the answers of several ranks to one order, in the order of the ranks. */
std::string encodeOrderAnswers(const OrderAnswers &answers);
Result<OrderAnswers> decodeOrderAnswers(std::string_view bytes);
/** Encodes the ranks that an order is for as the query string of a request target. */
std::string encodeOrderRanks(const std::vector<std::uint32_t> &ranks);
Result<std::vector<std::uint32_t>> decodeOrderRanks(std::string_view text);
/** Encodes the query string of a request target; the loads of the query are not part of it. */
std::string encodeRankQuery(const RankQuery &query);
Result<RankQuery> decodeRankQuery(std::string_view text);

} // namespace turmericline
