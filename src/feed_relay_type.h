#pragma once

#include "gateway_dialect.h"
#include "store_feed.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace turmericline {

/** Place in the list of changes that one gateway keeps; the list of another process has another number. */
struct FeedCursor
{
    std::uint64_t log = 0;
    std::uint64_t change = 0; ///< Number of the last change that is known.

    bool operator==(const FeedCursor &) const = default;
};

/** Question of a gateway to another one of its failure domain, which reads the store for both. */
struct FeedPoll
{
    FeedCursor cursor;
    std::chrono::milliseconds wait{}; ///< The answer may wait for a change for so long.
};

/** Answer to a FeedPoll. All ages are those at the time of the answer. */
struct FeedReport
{
    FeedCursor cursor; ///< After these changes.
    StoreChange servers;
    std::chrono::milliseconds serversAge{}; ///< Since the store confirmed the state of the servers.
    std::chrono::milliseconds outage{}; ///< Length of an outage of the store that has ended lately, or 0.
    std::uint64_t configVersion = 0; ///< Of the configuration in force.
    std::chrono::milliseconds configAge{}; ///< Since the store confirmed that this is the newest one.
    std::set<std::string> evacuated; ///< Failure domains; as old as the configuration.
    std::chrono::milliseconds held{}; ///< Time between the arrival of the poll and the answer.
};

} // namespace turmericline
