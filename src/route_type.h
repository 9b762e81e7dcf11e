#pragma once

#include "health_type.h"
#include "quota_type.h"

#include <chrono>
#include <cstdint>

namespace turmericline {

using Seconds = std::chrono::duration<double>;

/** What a request says about where it runs best. */
struct RouteRequest
{
    std::uint64_t prefix = 0; ///< Hash of the start of the prompt; 0 if it has none that is worth keeping.
    double prefixTokens = 0; ///< Length of that start.
};

/** One backend server as an entry sees it; policies choose among these. */
struct RouteServer
{
    ServerKey key = 0;
    std::uint32_t slots = 1;
    Seconds distance{0}; ///< Round trip to its failure domain.
    TimePoint activeSince{}; ///< Begin of its warm-up.
    std::uint32_t ownInFlight = 0; ///< Requests of this entry.
    std::uint32_t ownAtReport = 0; ///< The same when the load report was received.
    double reported = 0; ///< In flight and queued, of all entries.
    TimePoint reportedAt{}; ///< When the report was true, that is received less its age.
    double slowness = 1; ///< Latency divided by the median.
    bool isRoutable = true;
    // Filled for each choice.
    double load = 0; ///< Estimated work divided by what the server can take now.
    Seconds saving{0}; ///< Expected saving by its prefix cache.
};

struct RouteConfig
{
    Seconds requestTime{2.0}; ///< Typical time of a request, to turn load into waiting time.
    Seconds prefillPerToken{0.0001}; ///< Saved per cached prompt token.
    Seconds reportLifetime{2.0}; ///< After this time a report counts as much as the mean of all servers.
    Seconds warmUp{10.0}; ///< A new server takes its full part after this time.
    double boundedLoad = 1.25; ///< The affinity order skips servers above this multiple of the mean load.
    Seconds prefixLifetime{300.0}; ///< After this time a prefix is taken to be evicted.
    std::size_t prefixes = 8192; ///< Remembered per entry.
};

} // namespace turmericline
