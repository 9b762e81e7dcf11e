#include "demand_estimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace turmericline {

namespace {

/** Weight of a new distance in the mean of the usual ones: that of about the last ten blocks. */
constexpr double distanceWeight = 0.1;

/** Total variation distance between the distributions of two sets of choices. */
double distance(const ExpertLoads &a, double sumA, const ExpertLoads &b, double sumB)
{
    double sum = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        sum += std::abs(a[n] / sumA - b[n] / sumB);
    }
    return sum / 2;
}

} // namespace

DemandEstimate::DemandEstimate(const DemandEstimateConfig &config, std::size_t experts)
    : m_config(config)
    , m_loads(experts, 0.0)
    , m_block(experts, 0.0)
{
}

/** Whether a block at this distance from the average marks a shift; otherwise the distance counts as a usual one. */
bool DemandEstimate::isShift(double distance)
{
    const auto usual = m_usualDistance.value_or(m_config.shiftDistance);
    const auto limit
        = std::min(m_config.shiftDistance, std::max(m_config.smallestShiftDistance, m_config.shiftFactor * usual));
    if (distance > limit) {
        return true;
    }
    m_usualDistance = m_usualDistance ? usual + (distance - usual) * distanceWeight : distance;
    return false;
}

void DemandEstimate::update(TimePoint now)
{
    if (m_blockStart == TimePoint{}) {
        m_blockStart = now;
    }
    const auto length = now - m_blockStart;
    const double sum = std::accumulate(m_block.begin(), m_block.end(), 0.0);
    if (length < m_config.blockTime || sum < m_config.blockCounts) {
        return;
    }
    double factor
        = std::exp2(-std::chrono::duration<double>(length) / std::chrono::duration<double>(m_config.halfLife));
    if (m_sum > 0 && isShift(distance(m_loads, m_sum, m_block, sum))) {
        factor = 0;
        ++m_shifts;
    }
    for (std::size_t n = 0; n < m_loads.size(); ++n) {
        m_loads[n] = m_loads[n] * factor + std::exchange(m_block[n], 0.0);
    }
    m_sum = m_sum * factor + sum;
    m_blockStart = now;
}

} // namespace turmericline
