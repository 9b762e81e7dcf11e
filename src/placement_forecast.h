#pragma once

#include "placement_type.h"

#include <array>

namespace turmericline {

/** Forecasts the shares of the experts of one layer from the windows observed. */
class LoadForecast
{
public:
    explicit LoadForecast(std::size_t experts);

    /** Takes the tokens of a window; a window without load changes nothing. */
    void observe(const ExpertLoads &loads);

    bool isEmpty() const
    {
        return m_windows == 0;
    }

    /** Expected share of each expert in the next window; they add up to 1. */
    const ExpertLoads &shares() const
    {
        return m_shares;
    }

    /** Shares of each expert that the next window may turn out to have, drawn from recent forecast errors. */
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
    std::array<ExpertLoads, scenarioCount> m_ratios; ///< Observed by forecast share in recent windows.
    ScenarioLoads m_scenarios;
    std::size_t m_windows = 0;
};

} // namespace turmericline
