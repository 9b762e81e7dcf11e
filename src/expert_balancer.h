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
    double goalSkew = 1.25; ///< The search stops at this skew; lowering it further is not worth the copies.
    double smallestGain = 0.06; ///< Relative reduction of the skew that a new map must reach.
    /** Most copies that a rank makes per change of map, for every four layers. Limits the duration of the change. */
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
 * Proposes expert maps for a group of ranks that run in lock-step, from the counts that the ranks report.
 *
 * Load pattern: a few experts get most of the tokens, and which ones changes every few seconds. Each layer of a pass
 * takes as long as its most loaded rank. A proposal makes few changes, so that it is in use before the demand changes
 * again.
 */
class ExpertBalancer
{
public:
    ExpertBalancer(const ExpertBalancerConfig &config, const ExpertLayout &layout, std::size_t ranks);

    /** Adds the choices of some ranks. Counts for a different number of experts are ignored. */
    void observe(TimePoint now, const ExpertChoices &choices);
    /** Sets the current slowdown of each rank: 1 is the usual speed, 2 means that work takes twice as long. */
    void setSlowdowns(std::vector<double> slowdowns);
    /** Returns a better map than @p current, or nothing if the skew would not fall by smallestGain. */
    std::optional<MapProposal> propose(TimePoint now, const LayerMaps &current);

    /** Mean over the layers of the time of the slowest rank, relative to the time with a perfectly even load. */
    double skew(const LayerMaps &map) const;

private:
    void update(TimePoint now);
    ExpertLoads shares(std::size_t layer) const;
    void improve(std::vector<MapSearch> &searches) const;
    std::size_t copiesPerRank() const;
    std::vector<std::size_t> allowedCopies(const std::vector<MapSearch> &searches, const MapSearch &search) const;

    ExpertBalancerConfig m_config;
    ExpertLayout m_layout;
    PlacementShape m_shape;
    std::vector<DemandEstimate> m_demand; ///< By layer.
    std::vector<double> m_extraLoad; ///< By rank: load that is added to slow ranks, in units of the mean load.
};

} // namespace turmericline
