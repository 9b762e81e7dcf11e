#pragma once

#include "time_type.h"

#include <cstddef>
#include <span>
#include <vector>

namespace turmericline {

/** What one caller's connection holds. */
struct CallerUsage
{
    std::size_t bytes = 0;
    TimePoint lastProgressAt{}; ///< Of the request that is being received, or since which the connection is idle.
    bool isServed = false; ///< Its request is complete and being served.
    bool isIdle = false; ///< No request has begun.
};

/**
 * Chooses the connections to close when the memory for callers is used up.
 *
 * Expected load: a few hundred callers that send large requests and stop short of their end, beside ordinary callers with
 * requests of some kilobytes. Those that hold most, and of these the ones that have made no progress for longest, are closed
 * first. Requests that are complete are never chosen, and small ones only if a small one lacks memory and nothing else is
 * left: large ones use their own part of the budget.
 *
 * @param holderBytes what the connection that lacks memory needs in all
 * @return indexes into @p callers that hold at least @p bytes together, or all that may be closed
 */
std::vector<std::size_t>
chooseCallersToClose(TimePoint now, std::span<const CallerUsage> callers, std::size_t bytes, std::size_t holderBytes);

/**
 * Chooses the connection to close when there are too many: the one that has been idle for longest, or if none is idle, the
 * incomplete request without progress for longest. Returns the number of callers if there is none.
 */
std::size_t chooseCallerToReplace(std::span<const CallerUsage> callers);

} // namespace turmericline
