#pragma once

#include "name_table.h"
#include "placement_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

using MapNumber = std::uint64_t; ///< Version of an expert map; each number is used for one map only.
using PassNumber = std::uint64_t; ///< Counts the passes of a group within one epoch.

inline constexpr std::uint32_t coordinatorRank = 0; ///< Rank that holds the group; its agent is the coordinator.

/** What a rank states of itself. */
struct RankState
{
    std::string group;
    std::uint64_t epoch = 0; ///< Of the group; a new epoch starts with map 0 and no orders.
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Ranks of the group.
    bool isOpen = false; ///< The group serves.
    PassNumber pass = 0; ///< Last one begun.
    MapNumber map = 0; ///< In use.
    std::optional<MapNumber> prepared; ///< Copied and ready.
    std::optional<MapNumber> armed; ///< To be taken into use.
    std::optional<PassNumber> held; ///< Pass that the group does not begin.
    std::uint32_t running = 0; ///< Requests.
    std::uint32_t waiting = 0; ///< Requests.
    double pace = 1; ///< Time that work takes at present in units of the usual time.
};

/** Experts of one rank by layer. */
using HeldExperts = std::vector<std::vector<ExpertIndex>>;

/** Choices by expert, layer by layer. */
using ExpertChoices = std::vector<std::uint64_t>;

/** How often the requests of a rank chose each expert since the rank started. */
struct RankCounts
{
    std::uint64_t epoch = 0;
    ExpertChoices counts;
};

/** Map of all layers: experts by layer and rank. */
using LayerMaps = std::vector<ExpertMap>;

/** Experts of one rank in one layer, where a map differs from an earlier one. */
struct MapChange
{
    std::uint32_t layer = 0;
    std::uint32_t rank = 0;
    std::vector<ExpertIndex> experts;

    bool operator==(const MapChange &) const = default;
};

enum class RankOrderKind {
    Prepare, ///< Copies the experts of a map.
    Arm, ///< Takes a prepared map into use as a pass begins.
    Disarm,
    Hold, ///< Keeps the group from beginning a pass.
    Go, ///< Ends a hold.
};

inline constexpr std::array<NamedValue<RankOrderKind>, 5> rankOrderNames{{
    {RankOrderKind::Prepare, "prepare"},
    {RankOrderKind::Arm, "arm"},
    {RankOrderKind::Disarm, "disarm"},
    {RankOrderKind::Hold, "hold"},
    {RankOrderKind::Go, "go"},
}};

/** Order to one rank. Fields that its kind does not use are 0. */
struct RankOrder
{
    RankOrderKind kind = RankOrderKind::Go;
    std::uint64_t epoch = 0;
    MapNumber version = 0;
    PassNumber pass = 0;
    // Of Prepare: a whole map, or what changes in the map that an earlier order of this epoch brought.
    LayerMaps map;
    MapNumber base = 0;
    std::vector<MapChange> changes;
    std::uint64_t digest = 0; ///< Of the whole map.
};

/** What came of an order. */
enum class OrderAnswer {
    Accepted,
    Refused,
    BaseUnknown, ///< The map that changes is not known there; nothing was done.
};

} // namespace turmericline
