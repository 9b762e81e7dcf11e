#pragma once

#include "placement_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace turmericline {

struct DemandEstimateConfig
{
    /** A block whose total variation distance (0 to 1) from the average exceeds this marks a shift of the demand. */
    double shiftDistance = 0.2;
    /** The limit is lower, this many times the usual distance, if that is small, as in groups with many requests. */
    double shiftFactor = 3;
    double smallestShiftDistance = 0.05; ///< Lower bound of that limit.
    std::chrono::milliseconds blockTime{50}; ///< Shortest duration of a block: about one pass.
    double blockCounts = 5'000; ///< Fewest choices in a block; with fewer, the distribution is mostly noise.
    std::chrono::milliseconds halfLife{2'000}; ///< Half-life of old choices while the demand is stable.

    bool operator==(const DemandEstimateConfig &) const = default;
};

/**
 * Estimates the demand for the experts of one layer from a stream of counts.
 *
 * Load pattern: apart from the noise of single requests, the distribution over the experts is stable for seconds and
 * then changes for most experts within one pass. An exponentially decaying mean either lags or is noisy. This estimator
 * collects choices in blocks, averages over blocks while they agree, and restarts from a block that differs. The noise
 * depends on the number of requests, so the estimator measures how much blocks usually differ.
 */
class DemandEstimate
{
public:
    DemandEstimate(const DemandEstimateConfig &config, std::size_t experts);

    /** Adds choices of @p expert to the current block. */
    void add(ExpertIndex expert, double choices)
    {
        m_block[expert] += choices;
    }

    /** Completes the current block if it is long and large enough. */
    void update(TimePoint now);

    /** Choices by expert; older ones have less weight. */
    const ExpertLoads &loads() const
    {
        return m_loads;
    }

    /** Sum of loads(). */
    double sum() const
    {
        return m_sum;
    }

    /** Number of demand shifts detected so far. */
    std::uint64_t shifts() const
    {
        return m_shifts;
    }

private:
    bool isShift(double distance);

    DemandEstimateConfig m_config;
    ExpertLoads m_loads;
    ExpertLoads m_block;
    double m_sum = 0; ///< Sum of m_loads.
    std::optional<double> m_usualDistance; ///< Mean distance of blocks that agree with the average.
    std::uint64_t m_shifts = 0;
    TimePoint m_blockStart{}; ///< Start of the current block.
};

} // namespace turmericline
