#pragma once

#include "store_feed.h"

#include <cstdint>
#include <optional>

namespace turmericline {

/** The configuration in @p change if its version is higher than @p inForce; one that cannot be read is logged. */
std::optional<RoutingConfig>
newerConfig(const GatewayDialect &dialect, const StoreChange &change, std::uint64_t inForce);

} // namespace turmericline
