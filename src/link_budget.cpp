#include "link_budget.h"

#include <cmath>

namespace turmericline {

namespace {

constexpr double bytesPerMegabit = 125'000;
constexpr double msPerSecond = 1'000;

} // namespace

LinkBudget::LinkBudget(double megabits)
    : m_bytesPerSecond(megabits * bytesPerMegabit)
{
}

std::chrono::milliseconds LinkBudget::transferTime(std::size_t bytes) const
{
    return period(bytes, 1);
}

std::chrono::milliseconds LinkBudget::period(std::size_t bytes, double share) const
{
    if (m_bytesPerSecond <= 0) {
        return std::chrono::milliseconds::zero();
    }
    const double ms = static_cast<double>(bytes) / (m_bytesPerSecond * share) * msPerSecond;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(ms)));
}

} // namespace turmericline
