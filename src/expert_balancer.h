#pragma once

#include "demand_estimate.h"
#include "placement_search.h"
#include "rank_type.h"
#include "routing_type.h"
#include "time_type.h"

#include <optional>
#include <vector>

namespace turmericline {

struct ExpertBalancerConfig
{
    DemandEstimateConfig demand;
    double goalSkew = 1.25; ///< Copies beyond it are not worth their price.
    double smallestGain = 0.06; ///< Part by which a new map must lower the skew.
    /** Copies that a rank makes at most for one change of map, for every four layers: the time that it takes. */
    std::size_t copiesPerSwitch = 1;

    bool operator==(const ExpertBalancerConfig &) const = default;
};

struct MapProposal
{
    LayerMaps map;
    double skewBefore = 1;
    double skewAfter = 1;
    std::size_t moves = 0;
};

/**
 * Proposes maps of experts for a group of ranks in lock-step from the counts that the ranks state.
 *
 * Load pattern: a few experts get most of the tokens, and every few seconds others do. A pass takes, layer by layer, as
 * long as its most loaded rank. Each proposal changes little, so that it is in use before the demand changes again.
 */
class ExpertBalancer
{
public:
    ExpertBalancer(const ExpertBalancerConfig &config, const ExpertLayout &layout, std::size_t ranks);

    /** Adds choices of some ranks; those for another number of experts are ignored. */
    void observe(TimePoint now, const ExpertChoices &choices);
    /** Time that work takes on each rank at present, in units of the usual time. */
    void setPaces(std::vector<double> paces);
    /** A better map than @p current; nothing if none gains enough. */
    std::optional<MapProposal> propose(TimePoint now, const LayerMaps &current);

    /** Mean over the layers of the time of the slowest rank, in units of the time that an even map takes. */
    double skew(const LayerMaps &map) const;

private:
    void update(TimePoint now);
    ExpertLoads shares(std::size_t layer) const;
    void improve(std::vector<MapSearch> &searches) const;
    std::size_t copiesPerRank() const;
    std::vector<std::size_t> copiesLeft(const std::vector<MapSearch> &searches, const MapSearch &search) const;

    ExpertBalancerConfig m_config;
    ExpertLayout m_layout;
    PlacementShape m_shape;
    std::vector<DemandEstimate> m_demand; ///< By layer.
    std::vector<double> m_spare; ///< Part of the mean load that each rank must stay below it for its pace.
};

} // namespace turmericline
