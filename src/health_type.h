#pragma once

#include "name_table.h"
#include "quota_type.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace turmericline {

using ServerKey = std::uint64_t; ///< Hash of a backend server's name, the same in every process.

enum class HealthState {
    Live,
    Slow, ///< Answers, but with a much higher latency than the others; still gets work.
    Leaving, ///< Gets no new work.
    Suspected, ///< Does not answer; gets only occasional probes.
    Gone, ///< Does not answer and is not in the instance list.
};

inline constexpr std::array<NamedValue<HealthState>, 5> healthStateNames{{
    {HealthState::Live, "live"},
    {HealthState::Slow, "slow"},
    {HealthState::Leaving, "leaving"},
    {HealthState::Suspected, "suspected"},
    {HealthState::Gone, "gone"},
}};

/** State in the platform's instance list, which can be wrong for 30 s. */
enum class ListedState {
    Live,
    Leaving,
    Absent,
};

/** State of a server as seen by an entry, sent to other entries by gossip. */
struct HealthReport
{
    ServerKey server = 0;
    std::uint64_t incarnation = 0; ///< Incarnation of the agent that the reporter last saw.
    HealthState state = HealthState::Suspected;
};

struct HealthConfig
{
    unsigned failuresToSuspect = 3; ///< Consecutive failures.
    unsigned successesToTrust = 2; ///< Consecutive successes that end a suspicion.
    unsigned reportersToSuspect = 2; ///< Distinct neighbours, if no recent own success contradicts them.
    std::chrono::milliseconds reportLifetime{5000}; ///< A report counts for this long.
    std::chrono::milliseconds evidenceLifetime{2000}; ///< An own success overrides reports for this long.
    std::chrono::milliseconds probePeriod{1000}; ///< Minimum time between two probes.
    std::chrono::milliseconds probeTimeout{10'000}; ///< An unanswered probe blocks the next one for this long.
    std::chrono::milliseconds absentTime{30'000}; ///< How long the instance list may be wrong.
    double slowFactor = 2.0; ///< A server becomes slow above this multiple of the median latency.
    double normalFactor = 1.5; ///< A slow server becomes live again below this multiple of the median latency.
    unsigned slowTicks = 3; ///< Consecutive ticks beyond the threshold that change the state.
};

} // namespace turmericline
