#pragma once

#include "server_limit.h"
#include "verdict_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Request target at which a gateway takes requests of others for permits. */
inline constexpr std::string_view permitTarget = "/permit";

/** Encodes a report as an array for MessagePack or JSON. */
nlohmann::json encodeLimitReport(const LimitReport &report);
/** Decodes a report; returns nothing if it is invalid. */
std::optional<LimitReport> decodeLimitReport(const nlohmann::json &value);

/** Encode as MessagePack with a format number. Decoding never throws. */
std::string encodePermitRequest(const LimitReport &report);
Result<LimitReport> decodePermitRequest(std::string_view bytes);
std::string encodePermitReply(const PermitReply &reply);
Result<PermitReply> decodePermitReply(std::string_view bytes);

/** Returns the reports for a message to another gateway: at most 800 bytes as MessagePack. */
std::vector<LimitReport> limitReportsForMessage(ServerLimits &limits, TimePoint now);
/** Returns the number of limited servers and some of the limits, for operators. */
nlohmann::json describeLimits(const ServerLimits &limits, TimePoint now);

} // namespace turmericline
