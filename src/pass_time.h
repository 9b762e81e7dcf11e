#pragma once

#include "routing_type.h"
#include "time_type.h"

#include <chrono>
#include <optional>

namespace turmericline {

/**
 * Estimates how long the passes of a group of ranks take, from the pauses between events of the streams that one gateway
 * forwards, and how that depends on the number of requests per rank.
 *
 * Load pattern: all ranks of a group advance in lock-step, and an event of each stream comes out of each pass. So every
 * gateway sees the same passes, without any message, and a pass that takes too long makes all streams of the group late.
 */
class PassTimeEstimate
{
public:
    /** Adds a pause between two events, seen at @p load requests per rank. */
    void add(TimePoint now, std::chrono::duration<double> pause, double load, const EngineProfile &engine);

    /** Whether there was a pause lately; the estimate tells nothing otherwise. */
    bool isRecent(TimePoint now) const;
    /** Pause to expect at @p load requests per rank when the group is as slow as at its slowest of the last seconds. */
    std::chrono::duration<double> slowest(TimePoint now, double load, const EngineProfile &engine) const;

    /**
     * Returns the number of requests per rank up to which pauses stay within @p target while the group is that slow; nothing
     * without a recent estimate.
     */
    std::optional<double>
    loadLimit(TimePoint now, std::chrono::duration<double> target, const EngineProfile &engine) const;

private:
    double slowness(TimePoint now) const;

    std::chrono::duration<double> m_mean{};
    double m_slowness = 0; ///< Recent pause, in units of the time of a step at that load.
    double m_peakSlowness = 0; ///< Highest one of the last seconds, as of m_lastAt.
    TimePoint m_lastAt{};
};

} // namespace turmericline
