#pragma once

#include "placement_type.h"

#include <array>

namespace turmericline {

/** Forecasts the shares of the experts of one layer from the windows observed. */
class LoadForecast
{
public:
    explicit LoadForecast(std::size_t experts);

    /** Updates the forecast with the tokens of a window. A window without load is ignored. */
    void observe(const ExpertLoads &loads);

    bool isEmpty() const
    {
        return m_windows == 0;
    }

    /** Expected share of each expert in the next window; the shares add up to 1. */
    const ExpertLoads &shares() const
    {
        return m_shares;
    }

    /** Possible shares of each expert in the next window, derived from recent forecast errors. */
    const ScenarioLoads &scenarios() const
    {
        return m_scenarios;
    }

private:
    /** Exponentially weighted average with its discounted squared forecast error. */
    struct Average
    {
        double gain = 1.0;
        double error = 0.0;
        ExpertLoads level;
    };

    void recordErrors(const ExpertLoads &observed);
    void shrink(double gain);
    void composeScenarios();
    void detectShifts(const ExpertLoads &observed);
    void update(const ExpertLoads &observed);

    std::array<Average, 4> m_averages;
    ExpertLoads m_deviation; ///< Smoothed absolute forecast error of each expert.
    ExpertLoads m_shares;
    std::array<ExpertLoads, scenarioCount> m_ratios; ///< Ratios of observed to forecast share in recent windows.
    ScenarioLoads m_scenarios;
    std::size_t m_windows = 0;
};

} // namespace turmericline
