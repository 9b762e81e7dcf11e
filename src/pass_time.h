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
    void add(TimePoint now, std::chrono::duration<double> pause, double load);

    /** Whether there was a pause lately; the estimate tells nothing otherwise. */
    bool isRecent(TimePoint now) const;
    /** Mean pause. */
    std::chrono::duration<double> mean() const
    {
        return m_mean;
    }
    /** Pause that few passes exceed: the mean and twice the mean deviation. */
    std::chrono::duration<double> usualMaximum() const
    {
        return m_mean + 2 * m_deviation;
    }

    /**
     * Returns the number of requests per rank up to which few pauses exceed @p target; nothing without a recent estimate.
     * Work that does not grow with the number of requests is taken from @p engine.
     */
    std::optional<double>
    loadLimit(TimePoint now, std::chrono::duration<double> target, const EngineProfile &engine) const;

private:
    std::chrono::duration<double> m_mean{};
    std::chrono::duration<double> m_deviation{}; ///< Mean absolute difference from the mean.
    double m_load = 0; ///< Mean load at the times of these pauses.
    TimePoint m_lastAt{};
};

} // namespace turmericline
