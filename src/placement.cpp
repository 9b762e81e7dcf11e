#include "placement.h"

#include <algorithm>
#include <numeric>

namespace turmericline {

namespace {

// Limits the memory of tables with one entry per rank and expert or per rank and slot.
constexpr std::size_t maxTableSize = std::size_t{1} << 26;

std::vector<std::size_t> copiesPerExpert(const ExpertMap &map, std::size_t experts)
{
    std::vector<std::size_t> copies(experts, 0);
    for (const auto &rank : map) {
        for (const auto it : rank) {
            ++copies[it];
        }
    }
    return copies;
}

} // namespace

std::string shapeError(const PlacementShape &shape)
{
    if (shape.ranks == 0 || shape.slots == 0) {
        return "ranks and slots must be at least 1";
    }
    if (shape.experts == 0) {
        return "number of experts must be at least 1";
    }
    if (shape.slots < shape.experts && shape.ranks * shape.slots < shape.experts) {
        return std::to_string(shape.ranks) + " ranks with " + std::to_string(shape.slots) + " slots cannot hold "
               + std::to_string(shape.experts) + " experts";
    }
    if (shape.ranks > maxTableSize / shape.experts || shape.ranks > maxTableSize / shape.slots) {
        return std::to_string(shape.ranks) + " ranks exceed the limit for the given number of slots and experts";
    }
    return {};
}

ExpertMap roundRobinMap(const PlacementShape &shape)
{
    ExpertMap map(shape.ranks);
    const std::size_t perRank = std::min(shape.slots, shape.experts);
    const auto fits = [&](const std::vector<ExpertIndex> &rank, ExpertIndex expert) {
        return rank.size() < perRank && std::find(rank.begin(), rank.end(), expert) == rank.end();
    };
    for (std::size_t n = 0; n < shape.ranks * perRank; ++n) {
        const auto expert = static_cast<ExpertIndex>(n % shape.experts);
        for (std::size_t shift = 0; shift < shape.ranks; ++shift) {
            auto &rank = map[(n + shift) % shape.ranks];
            if (fits(rank, expert)) {
                rank.push_back(expert);
                break;
            }
        }
    }
    for (auto &it : map) {
        std::sort(it.begin(), it.end());
    }
    return map;
}

std::vector<double> rankLoads(const ExpertMap &map, const ExpertLoads &loads)
{
    const auto copies = copiesPerExpert(map, loads.size());
    std::vector<double> result(map.size(), 0.0);
    for (std::size_t r = 0; r < map.size(); ++r) {
        for (const auto it : map[r]) {
            result[r] += loads[it] / static_cast<double>(copies[it]);
        }
    }
    return result;
}

double skewOf(const ExpertMap &map, const ExpertLoads &loads)
{
    const auto perRank = rankLoads(map, loads);
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0.0) {
        return 1.0;
    }
    return *std::max_element(perRank.begin(), perRank.end()) * static_cast<double>(perRank.size()) / total;
}

double skewLowerBound(const PlacementShape &shape, const ExpertLoads &loads)
{
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (total <= 0.0) {
        return 1.0;
    }
    const auto copies = copiesByLoad(shape, loads);
    double largest = 0.0;
    for (std::size_t e = 0; e < loads.size(); ++e) {
        largest = std::max(largest, loads[e] / static_cast<double>(copies[e]));
    }
    return std::max(1.0, largest * static_cast<double>(shape.ranks) / total);
}

std::size_t movesBetween(const ExpertMap &previous, const ExpertMap &next)
{
    std::size_t moves = 0;
    for (std::size_t r = 0; r < next.size(); ++r) {
        for (const auto it : next[r]) {
            moves += std::binary_search(previous[r].begin(), previous[r].end(), it) ? 0 : 1;
        }
    }
    return moves;
}

Placer::Placer(const PlacementShape &shape, std::size_t layers)
    : m_shape(shape)
    , m_maps(layers, roundRobinMap(shape))
{
}

void Placer::observe(std::span<const ExpertLoads> layers, bool held)
{
    decide(layers, held);
}

std::unique_ptr<Placer>
makePlacer(PlacementPolicy policy, const PlacementShape &shape, std::size_t layers, const PlacementOptions &options)
{
    switch (policy) {
    case PlacementPolicy::Static:
        return makeStaticPlacer(shape, layers);
    case PlacementPolicy::Rebuild:
        return makeRebuildPlacer(shape, layers);
    case PlacementPolicy::RebuildMatched:
        return makeRebuildMatchedPlacer(shape, layers);
    case PlacementPolicy::Adaptive:
        return makeAdaptivePlacer(shape, layers, options);
    }
    return nullptr;
}

} // namespace turmericline
