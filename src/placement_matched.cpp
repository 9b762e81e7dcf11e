#include "placement.h"

#include <algorithm>
#include <limits>

namespace turmericline {

namespace {

using Costs = std::vector<std::vector<int>>;

/** Minimum-cost assignment by the Hungarian algorithm with potentials; returns the column of each row. */
std::vector<std::size_t> assign(const Costs &cost)
{
    const std::size_t n = cost.size();
    std::vector<int> rowPotential(n + 1, 0);
    std::vector<int> columnPotential(n + 1, 0);
    // Index 0 of the column arrays is a virtual column from which each augmenting path starts.
    std::vector<std::size_t> rowOf(n + 1, 0);
    std::vector<std::size_t> previousColumn(n + 1, 0);
    for (std::size_t row = 1; row <= n; ++row) {
        rowOf[0] = row;
        std::size_t column = 0;
        std::vector<int> slack(n + 1, std::numeric_limits<int>::max());
        std::vector<char> used(n + 1, 0);
        do {
            used[column] = 1;
            const std::size_t current = rowOf[column];
            int delta = std::numeric_limits<int>::max();
            std::size_t nearest = 0;
            for (std::size_t j = 1; j <= n; ++j) {
                if (used[j]) {
                    continue;
                }
                const int reduced = cost[current - 1][j - 1] - rowPotential[current] - columnPotential[j];
                if (reduced < slack[j]) {
                    slack[j] = reduced;
                    previousColumn[j] = column;
                }
                if (slack[j] < delta) {
                    delta = slack[j];
                    nearest = j;
                }
            }
            for (std::size_t j = 0; j <= n; ++j) {
                if (used[j]) {
                    rowPotential[rowOf[j]] += delta;
                    columnPotential[j] -= delta;
                } else {
                    slack[j] -= delta;
                }
            }
            column = nearest;
        } while (rowOf[column] != 0);
        while (column != 0) {
            const std::size_t before = previousColumn[column];
            rowOf[column] = rowOf[before];
            column = before;
        }
    }
    std::vector<std::size_t> columnOf(n, 0);
    for (std::size_t j = 1; j <= n; ++j) {
        columnOf[rowOf[j] - 1] = j - 1;
    }
    return columnOf;
}

int commonCopies(const std::vector<ExpertIndex> &a, const std::vector<ExpertIndex> &b)
{
    return static_cast<int>(std::count_if(a.begin(), a.end(), [&](ExpertIndex e) {
        return std::binary_search(b.begin(), b.end(), e);
    }));
}

class RebuildMatchedPlacer : public Placer
{
public:
    using Placer::Placer;

protected:
    void decide(std::span<const ExpertLoads> layers, bool held) override
    {
        for (std::size_t l = 0; l < layers.size() && !held; ++l) {
            if (std::any_of(layers[l].begin(), layers[l].end(), [](double n) {
                    return n > 0.0;
                })) {
                m_maps[l] = matchedMap(m_maps[l], packedMap(m_shape, layers[l]));
            }
        }
    }
};

} // namespace

ExpertMap matchedMap(const ExpertMap &previous, ExpertMap next)
{
    Costs cost(previous.size(), std::vector<int>(next.size(), 0));
    for (std::size_t r = 0; r < previous.size(); ++r) {
        for (std::size_t n = 0; n < next.size(); ++n) {
            cost[r][n] = -commonCopies(previous[r], next[n]);
        }
    }
    const auto sourceOf = assign(cost);
    ExpertMap result(next.size());
    for (std::size_t r = 0; r < result.size(); ++r) {
        result[r] = std::move(next[sourceOf[r]]);
    }
    return result;
}

std::unique_ptr<Placer> makeRebuildMatchedPlacer(const PlacementShape &shape, std::size_t layers)
{
    return std::make_unique<RebuildMatchedPlacer>(shape, layers);
}

} // namespace turmericline
