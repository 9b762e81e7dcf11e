#include "expert_balancer.h"

#include "placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace turmericline {

namespace {

/** Share of the demand that is spread evenly over the experts, so that maps do not fit the noise of rare ones. */
constexpr double uniformShare = 0.03;
/** See ExpertBalancerConfig::copiesPerSwitch. */
constexpr std::size_t layersPerCopy = 4;
/** Slowdowns up to this are treated as noise. */
constexpr double slowPace = 1.2;
/** Bounds the time of one decision; each step moves load off one rank of a layer. */
constexpr std::size_t minSteps = 400;
/** Limit of the steps in large groups: one for every so many ranks of each layer. */
constexpr std::size_t ranksPerStep = 2;
/** The search in a layer ends after this many steps without a lower skew. */
constexpr int maxStepsWithoutGain = 6;

} // namespace

ExpertBalancer::ExpertBalancer(const ExpertBalancerConfig &config, const ExpertLayout &layout, std::size_t ranks)
    : m_config(config)
    , m_layout(layout)
    , m_shape{ranks, layout.slots, layout.experts}
    , m_demand(layout.layers, DemandEstimate(config.demand, layout.experts))
    , m_extraLoad(ranks, 0.0)
{
}

void ExpertBalancer::update(TimePoint now)
{
    for (auto &it : m_demand) {
        it.update(now);
    }
}

void ExpertBalancer::observe(TimePoint now, const ExpertChoices &choices)
{
    if (choices.size() != std::size_t{m_layout.layers} * m_layout.experts) {
        return;
    }
    for (std::size_t n = 0; n < choices.size(); ++n) {
        m_demand[n / m_layout.experts].add(static_cast<ExpertIndex>(n % m_layout.experts),
                                           static_cast<double>(choices[n]));
    }
    update(now);
}

double ExpertBalancer::skew(const LayerMaps &map) const
{
    double sum = 0;
    for (std::size_t l = 0; l < map.size(); ++l) {
        const auto loads = rankLoads(map[l], m_demand[l].loads());
        const double mean = m_demand[l].sum() / static_cast<double>(loads.size());
        double largest = 1;
        for (std::size_t r = 0; r < loads.size() && mean > 0; ++r) {
            largest = std::max(largest, loads[r] / mean + m_extraLoad[r]);
        }
        sum += largest;
    }
    return sum / static_cast<double>(map.size());
}

void ExpertBalancer::setSlowdowns(std::vector<double> slowdowns)
{
    for (std::size_t r = 0; r < m_extraLoad.size() && r < slowdowns.size(); ++r) {
        // A rank with slowdown s needs as long for 1 / s of the mean load as the others for the mean load. The rest
        // counts as load of the rank, so that the search keeps that much work off it.
        m_extraLoad[r] = slowdowns[r] > slowPace ? 1 - 1 / slowdowns[r] : 0;
    }
}

ExpertLoads ExpertBalancer::shares(std::size_t layer) const
{
    auto loads = m_demand[layer].loads();
    const double sum = m_demand[layer].sum();
    const double even = uniformShare / static_cast<double>(loads.size());
    for (auto &it : loads) {
        it = it / sum * (1 - uniformShare) + even;
    }
    return loads;
}

/** The limit grows with the number of layers, since a change of demand needs copies in every layer. */
std::size_t ExpertBalancer::copiesPerRank() const
{
    return m_config.copiesPerSwitch * std::max<std::size_t>(1, m_layout.layers / layersPerCopy);
}

/** How many copies each rank may have in the layer of @p search, given the copies in the other layers. */
std::vector<std::size_t> ExpertBalancer::allowedCopies(const std::vector<MapSearch> &searches,
                                                       const MapSearch &search) const
{
    std::vector<std::size_t> left(m_shape.ranks);
    for (std::size_t r = 0; r < left.size(); ++r) {
        std::size_t all = 0;
        for (const auto &it : searches) {
            all += it.newCopies(r);
        }
        const auto free = copiesPerRank() - std::min(all, copiesPerRank());
        left[r] = std::min<std::size_t>(search.newCopies(r) + free, m_layout.maxNewExpertsPerSwitch);
    }
    return left;
}

void ExpertBalancer::improve(std::vector<MapSearch> &searches) const
{
    std::vector<int> stepsWithoutGain(searches.size(), 0);
    const auto worst = [&]() -> MapSearch * {
        MapSearch *found = nullptr;
        for (std::size_t l = 0; l < searches.size(); ++l) {
            if (stepsWithoutGain[l] < maxStepsWithoutGain && (found == nullptr || searches[l].skew() > found->skew())) {
                found = &searches[l];
            }
        }
        return found;
    };
    // The layers of a pass run one after another, so their times add up: improve the layer with the largest skew first.
    const auto maxSteps = std::max(minSteps, m_shape.ranks * m_layout.layers / ranksPerStep);
    for (std::size_t step = 0; step < maxSteps; ++step) {
        auto *search = worst();
        if (search == nullptr || search->skew() <= m_config.goalSkew) {
            return;
        }
        search->limitNewCopies(allowedCopies(searches, *search));
        const double before = search->skew();
        const bool hasChanged = search->step();
        auto &count = stepsWithoutGain[static_cast<std::size_t>(search - searches.data())];
        count = !hasChanged ? maxStepsWithoutGain : search->skew() < before ? 0 : count + 1;
    }
}

std::optional<MapProposal> ExpertBalancer::propose(TimePoint now, const LayerMaps &current)
{
    update(now);
    const bool isKnown = std::all_of(m_demand.begin(), m_demand.end(), [](const DemandEstimate &it) {
        return it.sum() > 0;
    });
    if (!isKnown) {
        return std::nullopt;
    }
    MapProposal proposal{current, skew(current), 1, 0};
    if (proposal.skewBefore <= m_config.goalSkew) {
        return std::nullopt;
    }
    std::vector<MapSearch> searches(current.size(), MapSearch(m_shape));
    for (std::size_t l = 0; l < current.size(); ++l) {
        searches[l].reset(current[l], shares(l), m_extraLoad);
    }
    improve(searches);
    for (std::size_t l = 0; l < current.size(); ++l) {
        MapSearch::applyTo(proposal.map[l], searches[l].edits());
        proposal.moves += movesBetween(current[l], proposal.map[l]);
    }
    proposal.skewAfter = skew(proposal.map);
    if (proposal.moves == 0 || proposal.skewAfter > proposal.skewBefore * (1 - m_config.smallestGain)) {
        return std::nullopt;
    }
    return proposal;
}

} // namespace turmericline
