#pragma once

#include <cstddef>
#include <random>
#include <span>

namespace turmericline {

/**
 * Chooses one of several servers at random, weighted by their loads (water-filling). @p loads must not be empty.
 *
 * Many gateways choose by the same load reports, which are some time old. If all took the least loaded server, the
 * requests sent until the next report would accumulate there. Servers are therefore drawn with probabilities at which
 * @p arrivals, the requests of all gateways in that time, would fill the least loaded servers up to a common level.
 * With 0 arrivals, the least loaded server is chosen; ties are broken at random.
 *
 * @return the index into @p loads
 */
std::size_t chooseByWaterFilling(std::span<const double> loads, double arrivals, std::mt19937_64 &random);

} // namespace turmericline
