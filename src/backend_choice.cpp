#include "backend_choice.h"

#include <algorithm>
#include <vector>

namespace turmericline {

namespace {

/** Common level that the lowest of the @p sorted loads reach if @p arrivals requests are distributed among them. */
double fillLevel(const std::vector<double> &sorted, double arrivals)
{
    double sum = 0;
    for (std::size_t n = 0; n < sorted.size(); ++n) {
        sum += sorted[n];
        const double level = (sum + arrivals) / static_cast<double>(n + 1);
        if (n + 1 == sorted.size() || level <= sorted[n + 1]) {
            return level;
        }
    }
    return 0;
}

/** Lower bound of arrivals, large enough that rounding does not hide ties between equal loads. */
constexpr double minArrivals = 1e-6;

} // namespace

std::size_t chooseByWaterFilling(std::span<const double> loads, double arrivals, std::mt19937_64 &random)
{
    std::vector<double> sorted(loads.begin(), loads.end());
    std::sort(sorted.begin(), sorted.end());
    const double level = fillLevel(sorted, std::max(arrivals, minArrivals));
    std::vector<double> room;
    room.reserve(loads.size());
    for (const auto it : loads) {
        room.push_back(std::max(0.0, level - it));
    }
    return std::discrete_distribution<std::size_t>(room.begin(), room.end())(random);
}

} // namespace turmericline
