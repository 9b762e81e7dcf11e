#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace turmericline {

/** Index of an expert within its layer. */
using ExpertIndex = std::uint32_t;

/** Experts of one layer held by each rank, ascending within a rank. */
using ExpertMap = std::vector<std::vector<ExpertIndex>>;

/** Tokens per expert of one layer in one window. */
using ExpertLoads = std::vector<double>;

inline constexpr std::size_t scenarioCount = 8;

/** Loads of each expert in several scenarios. The scenarios of one expert are adjacent so that one loop sums them. */
using ScenarioLoads = std::vector<std::array<double, scenarioCount>>;

/** Size of a group: every rank has the same number of slots per layer. */
struct PlacementShape
{
    std::size_t ranks = 0;
    std::size_t slots = 0;
    std::size_t experts = 0;
};

/** How the map of the next window is chosen. */
enum class PlacementPolicy {
    Static, ///< Round robin, never changed.
    Rebuild, ///< Replicates by load and packs from scratch each window.
    RebuildMatched, ///< As Rebuild, with ranks permuted to keep as many copies as possible in place.
    Adaptive, ///< Keeps the previous map and makes only changes that gain more than they cost.
};

/** Options of PlacementPolicy::Adaptive; the other policies ignore them. */
struct PlacementOptions
{
    /** Weight of skew against moves: 1 counts only skew, 0 only moves. */
    double skewWeight = 0.5;
    /** Most moves per window over all layers; unlimited if not set. */
    std::optional<std::size_t> moveBudget;
};

} // namespace turmericline
