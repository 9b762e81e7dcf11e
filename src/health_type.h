#pragma once

#include "name_table.h"
#include "quota_type.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace turmericline {

using ServerKey = std::uint64_t; ///< Hash of a backend server's name, equal in every process.

enum class HealthState {
    Live,
    Slow, ///< Answers, but much later than the others; still gets work.
    Leaving, ///< Gets no new work.
    Suspected, ///< Does not answer; gets a probe now and then.
    Gone, ///< Does not answer and is not in the instance list.
};

inline constexpr std::array<NamedValue<HealthState>, 5> healthStateNames{{
    {HealthState::Live, "live"},
    {HealthState::Slow, "slow"},
    {HealthState::Leaving, "leaving"},
    {HealthState::Suspected, "suspected"},
    {HealthState::Gone, "gone"},
}};

/** What the platform's instance list says; it can be wrong for 30 s. */
enum class ListedState {
    Live,
    Leaving,
    Absent,
};

/** An entry's view of a server as it is passed on by gossip. */
struct HealthReport
{
    ServerKey server = 0;
    std::uint64_t incarnation = 0; ///< Of the agent, as last seen by the reporter.
    HealthState state = HealthState::Suspected;
};

struct HealthConfig
{
    unsigned failuresToSuspect = 3; ///< In a row.
    unsigned successesToTrust = 2; ///< In a row, after a suspicion.
    unsigned reportersToSuspect = 2; ///< Different neighbours, if own traffic has nothing to say against it.
    std::chrono::milliseconds reportLifetime{5000};
    std::chrono::milliseconds evidenceLifetime{2000}; ///< An own success outweighs reports for this long.
    std::chrono::milliseconds probePeriod{1000};
    std::chrono::milliseconds probeTimeout{10'000}; ///< Until then an unanswered probe holds back the next one.
    std::chrono::milliseconds absentTime{30'000}; ///< How long the instance list may be wrong.
    double slowFactor = 2.0; ///< Of the median, to become slow.
    double normalFactor = 1.5; ///< Of the median, to become live again.
    unsigned slowTicks = 3; ///< Ticks in a row on the other side of the threshold.
};

} // namespace turmericline
