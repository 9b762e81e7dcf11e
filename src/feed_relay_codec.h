#pragma once

#include "feed_relay_type.h"
#include "verdict_type.h"

#include <string>
#include <string_view>

namespace turmericline {

/** Request target at which a gateway passes on what it reads from the store. */
inline constexpr std::string_view feedTarget = "/feed";

/** Encodes messages between gateways as MessagePack with a format number. Decoding never throws. */
std::string encodeFeedPoll(const FeedPoll &poll);
Result<FeedPoll> decodeFeedPoll(std::string_view bytes);
std::string encodeFeedReport(const FeedReport &report);
Result<FeedReport> decodeFeedReport(std::string_view bytes);

} // namespace turmericline
