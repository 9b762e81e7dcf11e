#pragma once

#include "store_feed.h"

#include <cstdint>
#include <optional>

namespace turmericline {

/** Returns the configuration in @p change if its version is higher than @p activeVersion. Logs one that cannot be parsed. */
std::optional<RoutingConfig>
newerConfig(const GatewayDialect &dialect, const StoreChange &change, std::uint64_t activeVersion);

} // namespace turmericline
