#pragma once

#include "exchange_type.h"
#include "region_map.h"

#include <random>
#include <variant>

namespace turmericline {

/** Whether the current configuration is known to be recent enough to decide on routes and keys. */
enum class ConfigFreshness {
    Missing, ///< No configuration has been received.
    Stale, ///< Not confirmed for so long that keys removed since might be accepted beyond the permitted time.
    Recent,
};

/**
 * Matches a request to a route and checks its key, or returns the response that refuses it. Without a recent
 * configuration, unmatched routes and keys are answered with 503 rather than 404 or 401, since they may have changed.
 */
std::variant<ExchangeRequest, Reply> routeRequest(TimePoint now,
                                                  std::shared_ptr<const RoutingTable> table,
                                                  ConfigFreshness freshness,
                                                  const RegionMap &regions,
                                                  CallerFields caller,
                                                  HttpHead head,
                                                  std::string body,
                                                  std::mt19937_64 &random);

} // namespace turmericline
