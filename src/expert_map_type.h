#pragma once

#include <cstdint>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace turmericline {

/** Position of a rank in its group. */
using RankIndex = std::uint32_t;

/** Identifies an expert map. A later epoch replaces an earlier one; the digest distinguishes maps of the same epoch. */
struct MapVersion
{
    std::uint64_t epoch = 0;
    std::uint64_t digest = 0;

    friend bool operator==(const MapVersion &, const MapVersion &) = default;

    friend bool operator<(const MapVersion &a, const MapVersion &b)
    {
        return std::tie(a.epoch, a.digest) < std::tie(b.epoch, b.digest);
    }
};

/** Identifies one run of a rank's process by a nonce and its start time, raised above any that peers report for it. */
struct RankIncarnation
{
    std::uint64_t start = 0;
    std::uint64_t nonce = 0;

    friend bool operator==(const RankIncarnation &, const RankIncarnation &) = default;

    friend bool operator<(const RankIncarnation &a, const RankIncarnation &b)
    {
        return std::tie(a.start, a.nonce) < std::tie(b.start, b.nonce);
    }
};

/**
 * Sent until a generation has formed. The message of a rank does not change within a generation once it lists a map.
 * The steps of a generation are numbered upwards from the number of the generation.
 */
struct JoinMessage
{
    RankIndex sender = 0;
    std::uint64_t generation = 0;
    std::vector<RankIncarnation> members; ///< Newest known incarnation of each rank.
    std::vector<MapVersion> held; ///< Maps whose weights the sender has loaded; empty if none.
    std::uint64_t fencingToken = 0;
    bool isAnswer = false; ///< Sent by a rank that has formed; must not be answered.
};

/** Sent at the end of a step. The message of a rank for a step never changes. */
struct StepMessage
{
    RankIndex sender = 0;
    std::uint64_t generation = 0;
    std::uint64_t step = 0;
    MapVersion prepared;
};

using GroupMessage = std::variant<JoinMessage, StepMessage>;

/** Asks a rank to load the weights of a map. */
struct PrepareOrder
{
    std::uint64_t fencingToken = 0;
    MapVersion map;
};

/** A message to one rank, or to all others. */
struct GroupSend
{
    std::optional<RankIndex> to;
    GroupMessage message;
};

/** Actions for the rank's process to carry out. */
struct GroupActions
{
    std::vector<GroupSend> messages;
    std::optional<MapVersion> load; ///< Load the weights and report the result.
    std::optional<std::uint64_t> runStep; ///< Run this step on the map in use.
};

} // namespace turmericline
