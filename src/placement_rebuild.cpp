#include "placement.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace turmericline {

namespace {

/** A copy of an expert that is still to be assigned to a rank. */
struct Copy
{
    double share = 0.0;
    ExpertIndex expert = 0;
};

bool holds(const std::vector<ExpertIndex> &rank, ExpertIndex expert)
{
    return std::find(rank.begin(), rank.end(), expert) != rank.end();
}

std::vector<Copy> copiesLargestFirst(const PlacementShape &shape, const ExpertLoads &loads)
{
    const auto counts = copiesByLoad(shape, loads);
    std::vector<Copy> copies;
    copies.reserve(shape.ranks * shape.slots);
    for (std::size_t e = 0; e < loads.size(); ++e) {
        const Copy copy{loads[e] / static_cast<double>(counts[e]), static_cast<ExpertIndex>(e)};
        copies.insert(copies.end(), counts[e], copy);
    }
    std::stable_sort(copies.begin(), copies.end(), [](const Copy &a, const Copy &b) {
        return a.share > b.share;
    });
    return copies;
}

class RebuildPlacer : public Placer
{
public:
    using Placer::Placer;

protected:
    void decide(std::span<const ExpertLoads> layers, bool held) override
    {
        for (std::size_t l = 0; l < layers.size() && !held; ++l) {
            // A window without load has no information about popularity.
            if (std::any_of(layers[l].begin(), layers[l].end(), [](double n) {
                    return n > 0.0;
                })) {
                m_maps[l] = packedMap(m_shape, layers[l]);
            }
        }
    }
};

} // namespace

std::vector<std::size_t> copiesByLoad(const PlacementShape &shape, const ExpertLoads &loads)
{
    std::vector<std::size_t> copies(loads.size(), 1);
    // Ties in load per copy are broken by fewest copies, then by lowest index.
    using Entry = std::tuple<double, std::ptrdiff_t, std::ptrdiff_t>;
    std::priority_queue<Entry> largest;
    const auto push = [&](std::size_t e) {
        const auto n = copies[e];
        if (n < shape.ranks) {
            largest.emplace(
                loads[e] / static_cast<double>(n), -static_cast<std::ptrdiff_t>(n), -static_cast<std::ptrdiff_t>(e));
        }
    };
    for (std::size_t e = 0; e < loads.size(); ++e) {
        push(e);
    }
    for (std::size_t spare = shape.ranks * shape.slots - loads.size(); spare > 0 && !largest.empty(); --spare) {
        const auto e = static_cast<std::size_t>(-std::get<2>(largest.top()));
        largest.pop();
        ++copies[e];
        push(e);
    }
    return copies;
}

ExpertMap packedMap(const PlacementShape &shape, const ExpertLoads &loads)
{
    ExpertMap map(shape.ranks);
    std::vector<double> rankLoad(shape.ranks, 0.0);
    for (const auto &copy : copiesLargestFirst(shape, loads)) {
        std::size_t best = shape.ranks;
        for (std::size_t r = 0; r < shape.ranks; ++r) {
            const bool isBetter = best == shape.ranks || rankLoad[r] < rankLoad[best];
            if (isBetter && map[r].size() < shape.slots && !holds(map[r], copy.expert)) {
                best = r;
            }
        }
        // An extra copy is omitted if every rank with room already holds the expert.
        if (best != shape.ranks) {
            map[best].push_back(copy.expert);
            rankLoad[best] += copy.share;
        }
    }
    for (auto &it : map) {
        std::sort(it.begin(), it.end());
    }
    return map;
}

std::unique_ptr<Placer> makeRebuildPlacer(const PlacementShape &shape, std::size_t layers)
{
    return std::make_unique<RebuildPlacer>(shape, layers);
}

} // namespace turmericline
