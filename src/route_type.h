#pragma once

#include "health_type.h"
#include "quota_type.h"

#include <chrono>
#include <cstdint>

namespace turmericline {

using Seconds = std::chrono::duration<double>;

/** Properties of a request that the choice of server depends on. */
struct RouteRequest
{
    std::uint64_t prefix = 0; ///< Hash of the prompt's prefix; 0 if it has none worth caching.
    double prefixTokens = 0; ///< Length of that prefix.
};

/** State of one backend server as known to an entry; input of the routing policies. */
struct RouteServer
{
    ServerKey key = 0;
    std::uint32_t slots = 1;
    Seconds roundTrip{0}; ///< Round-trip time to its failure domain.
    TimePoint activeSince{}; ///< Start of its warm-up.
    std::uint32_t ownInFlight = 0; ///< Requests in flight from this entry.
    std::uint32_t ownInFlightAtReport = 0; ///< Value of ownInFlight when the last load report arrived.
    double reported = 0; ///< Last reported load: requests in flight and queued, from all entries.
    TimePoint reportedAt{}; ///< Time of the measurement: time of receipt minus the report's age.
    double slowness = 1; ///< Latency divided by the median of the servers.
    bool isRoutable = true;
    // Computed anew for each choice.
    double load = 0; ///< Estimated requests divided by the slots that are usable now.
    Seconds cacheSaving{0}; ///< Prefill time that its prefix cache is expected to save.
};

struct RouteConfig
{
    Seconds requestTime{2.0}; ///< Typical duration of a request; converts load to queueing delay.
    Seconds prefillPerToken{0.0001}; ///< Time saved per cached prompt token.
    Seconds reportLifetime{2.0}; ///< Time constant with which the weight of a load report decays.
    Seconds warmUpTime{10.0}; ///< Time until a new server gets its full share of requests.
    double maxRelativeLoad = 1.25; ///< Servers above this multiple of the mean load are skipped in affinity order.
    Seconds prefixLifetime{300.0}; ///< Time after which a cached prefix is assumed to be evicted.
    std::size_t prefixes = 8192; ///< Capacity of an entry's PrefixMemory.
};

} // namespace turmericline
