#pragma once

#include "name_table.h"
#include "placement_base.h"

#include <memory>
#include <string>

namespace turmericline {

inline constexpr std::array<NamedValue<PlacementPolicy>, 4> placementPolicyNames{{
    {PlacementPolicy::Static, "static"},
    {PlacementPolicy::Rebuild, "rebuild"},
    {PlacementPolicy::RebuildMatched, "rebuild-matched"},
    {PlacementPolicy::Adaptive, "adaptive"},
}};

/** Validates @p shape; returns an error message, or an empty string if it can hold every expert. */
std::string shapeError(const PlacementShape &shape);

/** Assigns experts to ranks in round-robin order until all slots are used; a rank never holds an expert twice. */
ExpertMap roundRobinMap(const PlacementShape &shape);

/** Replicates experts by load and assigns the copies, largest share first, to the least loaded rank with room. */
ExpertMap packedMap(const PlacementShape &shape, const ExpertLoads &loads);

/** Permutes the ranks of @p next so that as many copies as possible are on the same rank as in @p previous. */
ExpertMap matchedMap(const ExpertMap &previous, ExpertMap next);

/** Returns the number of copies of each expert that minimises the largest load of a copy. */
std::vector<std::size_t> copiesByLoad(const PlacementShape &shape, const ExpertLoads &loads);

/** Load of each rank; the tokens of an expert are split evenly over its copies. */
std::vector<double> rankLoads(const ExpertMap &map, const ExpertLoads &loads);

/** Largest rank load divided by the mean; 1 if there is no load. */
double skewOf(const ExpertMap &map, const ExpertLoads &loads);

/** Lower bound of the skew of any map of this shape for these loads. */
double skewLowerBound(const PlacementShape &shape, const ExpertLoads &loads);

/** Number of copies in @p next on ranks that did not hold them in @p previous. */
std::size_t movesBetween(const ExpertMap &previous, const ExpertMap &next);

/** Creates the placer of @p policy for a valid @p shape. */
std::unique_ptr<Placer>
makePlacer(PlacementPolicy policy, const PlacementShape &shape, std::size_t layers, const PlacementOptions &options);

std::unique_ptr<Placer> makeStaticPlacer(const PlacementShape &shape, std::size_t layers);
std::unique_ptr<Placer> makeRebuildPlacer(const PlacementShape &shape, std::size_t layers);
std::unique_ptr<Placer> makeRebuildMatchedPlacer(const PlacementShape &shape, std::size_t layers);
std::unique_ptr<Placer>
makeAdaptivePlacer(const PlacementShape &shape, std::size_t layers, const PlacementOptions &options);

} // namespace turmericline
