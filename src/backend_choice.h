#pragma once

#include <cstddef>
#include <random>
#include <span>

namespace turmericline {

/**
 * Chooses one of several servers by their loads; nothing to choose from is not allowed.
 *
 * Load pattern: many gateways choose on the same figures, which are some time old. If all take the least loaded server,
 * the requests of that time pile up on it. Each choice is therefore drawn so that @p arrivals, the requests of all
 * gateways in that time, would fill the least loaded servers up to one level. Without arrivals, the least loaded one is
 * taken, one of several by chance.
 *
 * @return the position in @p loads
 */
std::size_t chooseByFill(std::span<const double> loads, double arrivals, std::mt19937_64 &random);

} // namespace turmericline
