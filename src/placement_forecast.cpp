#include "placement_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace turmericline {

namespace {

constexpr std::array<double, 4> gains{0.12, 0.25, 0.5, 1.0};
constexpr double errorDecay = 0.85;
constexpr double deviationGain = 0.15;
constexpr double initialDeviation = 0.15;
constexpr double shiftThreshold = 4.0;
constexpr double minDeviation = 0.01;
constexpr double maxRatio = 3.0;
// Half-width of the relative noise that is assumed until errors have been observed.
constexpr double initialNoise = 0.4;
// Above 1, so that a trace of pure noise is treated as uniform in nearly every window.
constexpr double shrinkage = 3.0;

void normalise(ExpertLoads &loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    for (auto &it : loads) {
        it /= total;
    }
}

} // namespace

LoadForecast::LoadForecast(std::size_t experts)
    : m_deviation(experts, 0.0)
    , m_shares(experts, 1.0 / static_cast<double>(experts))
    , m_scenarios(experts)
{
    for (std::size_t n = 0; n < gains.size(); ++n) {
        m_averages[n].gain = gains[n];
        m_averages[n].level = m_shares;
    }
    // Until errors have been observed, the scenarios assume a typical amount of noise.
    std::minstd_rand random;
    for (std::size_t n = 0; n < scenarioCount; ++n) {
        m_ratios[n].resize(experts);
        for (auto &it : m_ratios[n]) {
            it = 1.0 + initialNoise * (2.0 * static_cast<double>(random()) / std::minstd_rand::max() - 1.0);
        }
    }
}

void LoadForecast::observe(const ExpertLoads &loads)
{
    if (std::none_of(loads.begin(), loads.end(), [](double n) {
            return n > 0.0;
        })) {
        return;
    }
    ExpertLoads observed = loads;
    normalise(observed);
    if (m_windows++ == 0) {
        for (auto &it : m_averages) {
            it.level = observed;
        }
        for (std::size_t e = 0; e < observed.size(); ++e) {
            m_deviation[e] = initialDeviation * observed[e];
        }
        m_shares = observed;
        shrink(1.0);
        composeScenarios();
        return;
    }
    update(observed);
    recordErrors(observed);
    detectShifts(observed);
    const auto best = std::min_element(m_averages.begin(), m_averages.end(), [](const Average &a, const Average &b) {
        return a.error < b.error;
    });
    m_shares = best->level;
    normalise(m_shares);
    shrink(best->gain);
    composeScenarios();
}

void LoadForecast::shrink(double gain)
{
    const double mean = 1.0 / static_cast<double>(m_shares.size());
    double shareVariance = 0.0;
    for (const auto it : m_shares) {
        shareVariance += (it - mean) * (it - mean) * mean;
    }
    // The median is robust: a few experts whose load shifts do not raise the noise estimate of all.
    ExpertLoads deviations = m_deviation;
    const auto median = deviations.begin() + static_cast<std::ptrdiff_t>(deviations.size() / 2);
    std::nth_element(deviations.begin(), median, deviations.end());
    // The variance of a normal distribution is pi / 2 times the square of its mean absolute deviation.
    const double variance = std::numbers::pi / 2.0 * *median * *median;
    const double varianceFactor = std::max(gain / (2.0 - gain), 1.0 / static_cast<double>(m_windows));
    const double shrinkFactor
        = shareVariance > 0.0 ? std::max(0.0, 1.0 - shrinkage * variance * varianceFactor / shareVariance) : 0.0;
    for (auto &it : m_shares) {
        it = mean + shrinkFactor * (it - mean);
    }
}

void LoadForecast::recordErrors(const ExpertLoads &observed)
{
    auto &ratios = m_ratios[m_windows % scenarioCount];
    for (std::size_t e = 0; e < observed.size(); ++e) {
        const double error = observed[e] - m_shares[e];
        const double expectedError = std::max(m_deviation[e], minDeviation / static_cast<double>(observed.size()));
        // An error beyond the threshold is a shift, which the forecast follows, and not noise.
        const bool isNoise = std::abs(error) <= shiftThreshold * expectedError && m_shares[e] > 0.0;
        ratios[e] = isNoise ? std::clamp(observed[e] / m_shares[e], 1.0 / maxRatio, maxRatio) : 1.0;
    }
}

void LoadForecast::composeScenarios()
{
    std::array<double, scenarioCount> totals{};
    for (std::size_t e = 0; e < m_shares.size(); ++e) {
        for (std::size_t n = 0; n < scenarioCount; ++n) {
            m_scenarios[e][n] = m_shares[e] * m_ratios[n][e];
            totals[n] += m_scenarios[e][n];
        }
    }
    for (auto &it : m_scenarios) {
        for (std::size_t n = 0; n < scenarioCount; ++n) {
            it[n] /= totals[n];
        }
    }
}

void LoadForecast::update(const ExpertLoads &observed)
{
    for (auto &it : m_averages) {
        double squares = 0.0;
        for (std::size_t e = 0; e < observed.size(); ++e) {
            const double error = observed[e] - it.level[e];
            squares += error * error;
            it.level[e] += it.gain * error;
        }
        it.error = errorDecay * it.error + squares;
    }
}

void LoadForecast::detectShifts(const ExpertLoads &observed)
{
    const double floor = minDeviation / static_cast<double>(observed.size());
    for (std::size_t e = 0; e < observed.size(); ++e) {
        const double error = std::abs(observed[e] - m_shares[e]);
        const double expectedError = std::max(m_deviation[e], floor);
        if (error > shiftThreshold * expectedError) {
            for (auto &it : m_averages) {
                it.level[e] = observed[e];
            }
        }
        m_deviation[e] += deviationGain * (std::min(error, shiftThreshold * expectedError) - m_deviation[e]);
    }
}

} // namespace turmericline
