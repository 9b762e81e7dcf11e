#pragma once

#include "gateway_route.h"
#include "store_feed.h"

#include <chrono>
#include <optional>
#include <string>

namespace turmericline {

/** Long poll of the configuration, which must be confirmed often. */
inline constexpr std::chrono::milliseconds configWatchWait{2'000};
/** Long poll of the servers. */
inline constexpr std::chrono::milliseconds serverWatchWait{8'000};

/** After a restore of the store, the operators write lost changes again at once, and backend servers within about 2 s. */
inline constexpr std::chrono::milliseconds rewriteTime{2'300};

/** Feed of what the operators write: the configuration, whose state must be confirmed often, and the evacuations. */
StoreFeedConfig configFeedConfig(std::string prefix);
/** Feed of the announcements of backend servers. */
StoreFeedConfig serverFeedConfig(std::string prefix);

/** Time over which @p gateways gateways spread their reads when a new era of the store begins. */
std::chrono::milliseconds rereadSpread(std::size_t gateways);

/** Whether a configuration that was last confirmed at @p confirmedAt still proves that a key has not been removed. */
ConfigFreshness
configFreshness(std::optional<BootTime> confirmedAt, BootTime now, std::chrono::milliseconds revokeBound);

} // namespace turmericline
