#pragma once

#include "placement_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>

namespace turmericline {

struct DemandEstimateConfig
{
    /** Total variation distance, 0 to 1, between two distributions that no longer belong to one demand. */
    double shiftDistance = 0.2;
    std::chrono::milliseconds blockTime{50}; ///< Shortest block: about one pass.
    double blockCounts = 5'000; ///< Choices without which a block tells little about the distribution.
    std::chrono::milliseconds halfLife{2'000}; ///< Of old choices while the demand stays.

    bool operator==(const DemandEstimateConfig &) const = default;
};

/**
 * Demand for the experts of one layer, from counts that come in over time.
 *
 * Load pattern: the distribution over the experts stays for seconds, apart from the noise of single requests, and then
 * changes within one pass for most experts at once. A decaying mean follows late or is noisy. This one collects choices
 * in blocks, averages over blocks while they agree, and starts anew with a block that does not.
 */
class DemandEstimate
{
public:
    DemandEstimate(const DemandEstimateConfig &config, std::size_t experts);

    /** Adds choices of @p expert to the block that is being collected. */
    void add(ExpertIndex expert, double choices)
    {
        m_block[expert] += choices;
    }

    /** Ends the block if it is long and large enough. */
    void update(TimePoint now);

    /** Choices by expert, old ones weighed less. */
    const ExpertLoads &loads() const
    {
        return m_loads;
    }

    double sum() const
    {
        return m_sum;
    }

    /** Since the start. */
    std::uint64_t shifts() const
    {
        return m_shifts;
    }

private:
    DemandEstimateConfig m_config;
    ExpertLoads m_loads;
    ExpertLoads m_block;
    double m_sum = 0; ///< Of m_loads.
    std::uint64_t m_shifts = 0;
    TimePoint m_blockAt{}; ///< Start of the block.
};

} // namespace turmericline
