#pragma once

#include "name_table.h"
#include "placement_type.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

using MapNumber = std::uint64_t; ///< Version of an expert map; a number is never reused for a different map.
using PassNumber = std::uint64_t; ///< Number of a pass within an epoch of the group.

inline constexpr std::uint32_t coordinatorRank = 0; ///< Carries out holds of the group; its agent is the coordinator.

/** State that a rank reports of itself. */
struct RankState
{
    std::string group;
    std::uint64_t epoch = 0; ///< Of the group; a new epoch starts with map 0, no armed map and no hold.
    std::uint32_t rank = 0;
    std::uint32_t size = 0; ///< Number of ranks in the group.
    bool isOpen = false; ///< Whether the group serves requests.
    PassNumber pass = 0; ///< Last pass begun.
    MapNumber map = 0; ///< Map in use.
    std::optional<MapNumber> prepared; ///< Map whose experts are copied, ready to be armed.
    std::optional<MapNumber> armed; ///< Map that will be activated.
    std::optional<PassNumber> held; ///< Pass that the group may not begin.
    std::uint32_t running = 0; ///< Number of requests that are running.
    std::uint32_t waiting = 0; ///< Number of requests in the queue.
    double pace = 1; ///< Current slowdown: 1 at the usual speed, 2 if work takes twice as long.
};

/** Experts that one rank holds, by layer. */
using HeldExperts = std::vector<std::vector<ExpertIndex>>;

/** How often each expert was chosen: all experts of the first layer, then those of the next, and so on. */
using ExpertChoices = std::vector<std::uint64_t>;

/** Cumulative counts of how often the requests of a rank chose each expert, since the rank started. */
struct RankCounts
{
    std::uint64_t epoch = 0;
    ExpertChoices counts;
};

/** Maps of all layers. */
using LayerMaps = std::vector<ExpertMap>;

/** Difference between two maps: the new experts of one rank in one layer. */
struct MapChange
{
    std::uint32_t layer = 0;
    std::uint32_t rank = 0;
    std::vector<ExpertIndex> experts;

    bool operator==(const MapChange &) const = default;
};

enum class RankOrderKind {
    Prepare, ///< Copy the experts of a map.
    Arm, ///< Activate a prepared map at the start of a pass.
    Disarm, ///< Cancel an arm order.
    Hold, ///< Keep the group from beginning a pass.
    Go, ///< Release a hold.
};

inline constexpr std::array<NamedValue<RankOrderKind>, 5> rankOrderNames{{
    {RankOrderKind::Prepare, "prepare"},
    {RankOrderKind::Arm, "arm"},
    {RankOrderKind::Disarm, "disarm"},
    {RankOrderKind::Hold, "hold"},
    {RankOrderKind::Go, "go"},
}};

/** Order to one rank. Fields that its kind does not use are 0 or empty. */
struct RankOrder
{
    RankOrderKind kind = RankOrderKind::Go;
    std::uint64_t epoch = 0;
    MapNumber version = 0;
    PassNumber pass = 0;
    // For Prepare: a full map, or the changes to a base map that an earlier order of this epoch contained.
    LayerMaps map;
    MapNumber base = 0;
    std::vector<MapChange> changes;
    std::uint64_t digest = 0; ///< Digest of the full map.
};

/** An order to several ranks. */
struct GroupOrder
{
    std::vector<std::uint32_t> ranks;
    RankOrder order;
};

/** Result of an order. */
enum class OrderAnswer {
    Accepted,
    Refused,
    BaseUnknown, ///< The agent does not have the base map; the order was not executed.
};

/** Answers of several ranks to one order; nothing for a rank that did not answer. */
using OrderAnswers = std::vector<std::optional<OrderAnswer>>;

inline constexpr std::array<NamedValue<OrderAnswer>, 3> orderAnswerNames{{
    {OrderAnswer::Accepted, "accepted"},
    {OrderAnswer::Refused, "refused"},
    {OrderAnswer::BaseUnknown, "base unknown"},
}};

} // namespace turmericline
