#pragma once

#include "exchange_type.h"

#include <random>
#include <variant>

namespace turmericline {

/** How recent the configuration in force is known to be. */
enum class ConfigProof {
    Missing, ///< No configuration is known.
    Stale, ///< A newer one may have been in force for longer than keys may outlive their removal.
    Recent,
};

/**
 * Routes a request and checks its key, or says how to refuse it. Without a recent configuration nothing is said about
 * routes and keys: a key may have been added or taken away since.
 */
std::variant<ExchangeRequest, Reply> routeRequest(TimePoint now,
                                                  std::shared_ptr<const RoutingTable> table,
                                                  ConfigProof proof,
                                                  CallerFields caller,
                                                  HttpHead head,
                                                  std::string body,
                                                  std::mt19937_64 &random);

} // namespace turmericline
