#include "placement.h"

#include "placement_forecast.h"
#include "placement_search.h"

#include <algorithm>
#include <limits>

namespace turmericline {

namespace {

// Reduction of the skew that justifies moving all copies of a layer, at the default weight.
constexpr double fullMoveCost = 0.2;
// Hysteresis: the next windows tend to undo smaller relative gains, so these do not justify a change.
constexpr double smallestGain = 0.015;
// A map within this factor of the lower bound needs no second search with different numbers of copies.
constexpr double lowerBoundTolerance = 1.03;
// The search ends after more than this many consecutive steps that each lower the skew by less than the fraction below.
constexpr std::size_t maxStepsWithoutProgress = 8;
constexpr double minProgress = 0.002;
// After the first stages, successive ones differ little, so only every fourth is evaluated.
constexpr std::size_t denseStages = 8;
constexpr std::size_t stageInterval = 4;
// For pure noise, no map is better than round robin. The skew history shows within a few windows if a change fitted
// noise.
constexpr double historyDecay = 0.9;
constexpr double minHistoryWeight = 0.9;
constexpr double hysteresisGrowth = 4.0;
constexpr double maxHysteresis = 16.0;
constexpr double hysteresisDecay = 0.98;

/** Intermediate map of a search: the previous map after the first edits of the search. */
struct Stage
{
    bool isRetargeted = false; ///< Found by the search that starts with MapSearch::retarget().
    std::size_t edits = 0; ///< Number of edits applied.
    std::size_t moves = 0;
    double skew = 0.0;
};

/** Discounted sums of the skew of a layer's own map and of the round robin map in recent windows. */
struct SkewHistory
{
    double own = 0.0;
    double roundRobin = 0.0;
    double weight = 0.0;
    double hysteresis = 1.0; ///< Multiplies the smallest gain; grows with each return to round robin, then decays.
};

class AdaptivePlacer : public Placer
{
public:
    AdaptivePlacer(const PlacementShape &shape, std::size_t layers, const PlacementOptions &options)
        : Placer(shape, layers)
        , m_options(options)
        , m_forecasts(layers, LoadForecast(shape.experts))
        , m_histories(layers)
        , m_roundRobin(roundRobinMap(shape))
        , m_search(shape)
    {
        const double relativeMoveWeight = (1.0 - options.skewWeight) / std::max(options.skewWeight, 1e-9);
        const std::size_t slots = shape.ranks * std::min(shape.slots, shape.experts);
        m_moveCost = fullMoveCost * relativeMoveWeight / static_cast<double>(slots);
        m_smallestGain = smallestGain * relativeMoveWeight;
    }

protected:
    void decide(std::span<const ExpertLoads> layers, bool held) override
    {
        for (std::size_t l = 0; l < layers.size(); ++l) {
            recordSkew(l, layers[l]);
            m_forecasts[l].observe(layers[l]);
        }
        if (held || m_options.skewWeight <= 0.0) {
            return;
        }
        std::size_t budget = m_options.moveBudget.value_or(std::numeric_limits<std::size_t>::max());
        for (std::size_t l = 0; l < m_maps.size(); ++l) {
            budget -= returnToRoundRobin(l, budget);
        }
        if (m_options.moveBudget) {
            improveWithinBudget(budget);
            return;
        }
        for (std::size_t l = 0; l < m_maps.size(); ++l) {
            if (const auto stage = bestStage(l); stage.moves > 0) {
                apply(l, stage);
            }
        }
    }

private:
    void recordSkew(std::size_t layer, const ExpertLoads &loads)
    {
        auto &history = m_histories[layer];
        history.hysteresis = std::max(1.0, history.hysteresis * hysteresisDecay);
        // No comparison is needed while the layer uses the round robin map.
        if (m_maps[layer] == m_roundRobin) {
            return;
        }
        history.own = historyDecay * history.own + skewOf(m_maps[layer], loads);
        history.roundRobin = historyDecay * history.roundRobin + skewOf(m_roundRobin, loads);
        history.weight = historyDecay * history.weight + 1.0;
    }

    /** Resets a layer to round robin if its map was worse than that in recent windows; returns the number of moves. */
    std::size_t returnToRoundRobin(std::size_t layer, std::size_t budget)
    {
        auto &history = m_histories[layer];
        const auto moves = movesBetween(m_maps[layer], m_roundRobin);
        if (history.weight < minHistoryWeight || history.own <= history.roundRobin || moves > budget) {
            return 0;
        }
        m_maps[layer] = m_roundRobin;
        history = {0.0, 0.0, 0.0, std::min(history.hysteresis * hysteresisGrowth, maxHysteresis)};
        return moves;
    }

    /** Applies the changes of the layers with the largest gains, within the budget. */
    void improveWithinBudget(std::size_t budget)
    {
        std::vector<std::pair<double, std::size_t>> gains;
        for (std::size_t l = 0; l < m_maps.size(); ++l) {
            if (const auto stage = bestStage(l); stage.moves > 0) {
                gains.emplace_back(stage.skew - m_path.front().skew, l);
            }
        }
        std::sort(gains.begin(), gains.end());
        for (const auto &[gain, layer] : gains) {
            const auto stage = lastStageWithin(bestStage(layer), budget);
            if (stage.moves > 0) {
                apply(layer, stage);
                budget -= stage.moves;
            }
        }
    }

    /** Searches for a better map of @p layer; returns a stage without moves if no change is worth its cost. */
    Stage bestStage(std::size_t layer)
    {
        m_path.clear();
        if (m_forecasts[layer].isEmpty()) {
            return {};
        }
        search(layer, false);
        if (m_search.skew() > lowerBoundTolerance * skewLowerBound(m_shape, m_forecasts[layer].shares())) {
            search(layer, true);
        }
        const auto cost = [&](const Stage &stage) {
            return stage.skew + m_moveCost * static_cast<double>(stage.moves);
        };
        const auto best = std::min_element(m_path.begin(), m_path.end(), [&](const Stage &a, const Stage &b) {
            return cost(a) < cost(b);
        });
        return cost(*best) < (1.0 - m_smallestGain * m_histories[layer].hysteresis) * cost(m_path.front()) ? *best
                                                                                                           : Stage{};
    }

    /** Returns the last stage before @p goal that the budget allows. Later windows continue from there. */
    Stage lastStageWithin(const Stage &goal, std::size_t budget) const
    {
        if (goal.moves <= budget) {
            return goal;
        }
        Stage last;
        for (const auto &it : m_path) {
            // A retargeted search starts with many moves, so a small budget uses the stages of the plain search.
            const bool isBeforeGoal = it.isRetargeted ? goal.isRetargeted && it.edits < goal.edits
                                                      : goal.isRetargeted || it.edits < goal.edits;
            if (isBeforeGoal && it.moves <= budget) {
                last = it;
            }
        }
        return last;
    }

    void search(std::size_t layer, bool isRetargeted)
    {
        m_search.reset(m_maps[layer], m_forecasts[layer].shares());
        if (isRetargeted) {
            m_search.retarget();
        }
        double lowest = std::numeric_limits<double>::max();
        std::size_t stepsWithoutProgress = 0;
        bool hasNext = true;
        for (std::size_t step = 0; hasNext; ++step) {
            if (step < denseStages || step % stageInterval == 0) {
                m_path.push_back({isRetargeted,
                                  m_search.edits().size(),
                                  m_search.moves(),
                                  m_search.meanSkew(m_forecasts[layer].scenarios())});
            }
            const bool isProgress = m_search.skew() < lowest * (1.0 - minProgress);
            stepsWithoutProgress = isProgress ? 0 : stepsWithoutProgress + 1;
            lowest = isProgress ? m_search.skew() : lowest;
            hasNext = stepsWithoutProgress <= maxStepsWithoutProgress && m_search.step();
        }
        m_edits[isRetargeted ? 1 : 0] = m_search.edits();
    }

    void apply(std::size_t layer, const Stage &stage)
    {
        const auto &edits = m_edits[stage.isRetargeted ? 1 : 0];
        MapSearch::applyTo(m_maps[layer], std::span(edits).first(stage.edits));
    }

    PlacementOptions m_options;
    std::vector<LoadForecast> m_forecasts;
    std::vector<SkewHistory> m_histories;
    ExpertMap m_roundRobin;
    MapSearch m_search;
    std::vector<Stage> m_path; ///< Stages of the searches of the current layer.
    std::array<std::vector<MapSearch::Edit>, 2> m_edits; ///< Edits of the plain and the retargeted search.
    double m_moveCost = 0.0;
    double m_smallestGain = 0.0;
};

} // namespace

std::unique_ptr<Placer>
makeAdaptivePlacer(const PlacementShape &shape, std::size_t layers, const PlacementOptions &options)
{
    return std::make_unique<AdaptivePlacer>(shape, layers, options);
}

} // namespace turmericline
