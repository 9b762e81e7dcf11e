#pragma once

#include "server_limit_simulation.h"

#include <cmath>

/** Bounds on the requests that reach a server with a limit. */
namespace turmericline::server_limit_property {

using namespace std::chrono_literals;

inline constexpr auto window = 4s;
/** From this time after the first answer with a limit on, it has to be kept. */
inline constexpr auto reactionTime = 1s;

/** Requests that all gateways together may send within the window. */
inline std::size_t allowedArrivals(double limit)
{
    constexpr double burst = 5;
    return static_cast<std::size_t>(std::floor(limit * std::chrono::duration<double>(window).count() + burst));
}

/** Requests that have to reach the server in that time, if there is demand. */
inline std::size_t leastArrivals(double limit, std::chrono::duration<double> time)
{
    constexpr double usedShare = 0.8;
    return static_cast<std::size_t>(std::floor(usedShare * limit * time.count()));
}

} // namespace turmericline::server_limit_property
