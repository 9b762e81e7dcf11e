#pragma once

#include "name_table.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** What may be done with the requests of a route. */
enum class RouteKind {
    Safe, ///< Idempotent.
    Unsafe, ///< Runs at most once.
    Stream, ///< Answered with server-sent events; runs at most once unless it can be resumed.
};

inline constexpr std::array<NamedValue<RouteKind>, 3> routeKindNames{{
    {RouteKind::Safe, "safe"},
    {RouteKind::Unsafe, "unsafe"},
    {RouteKind::Stream, "stream"},
}};

/** One target of a weighted split. */
struct RoutingTarget
{
    std::string service;
    std::uint32_t weight = 1;
};

/** Maps a host and path prefix to services. */
struct RoutingRule
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::chrono::milliseconds timeout{60'000}; ///< From arrival to the end of the answer.
    std::chrono::milliseconds latencyTarget{1'000}; ///< Up to the answer, or the first event of a stream.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<RoutingTarget> targets;
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool allowsAnonymous = false;
    bool isResumable = false; ///< A stream can go on at another server after the last event received.

    bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && isResumable);
    }
};

/** How the ranks of a group may hold the experts of their model. */
struct ExpertLayout
{
    std::uint32_t layers = 0; ///< Sets of layers, each with a map of its own.
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t slots = 0; ///< Experts that a rank holds of one layer, at most.
    std::uint32_t newPerSwitch = 0; ///< Experts that a rank can copy for one change of map, of one layer.
};

struct RoutingService
{
    std::string name;
    std::uint32_t maxConnections = 64; ///< Of one backend server, from all callers together.
    std::optional<ExpertLayout> experts; ///< Nothing if the servers are not ranks that share experts.
};

/** What a caller may send, and how long it may take. */
struct RoutingLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 1'048'576;
    std::chrono::milliseconds headerTimeout{5'000};
    std::chrono::milliseconds idleTimeout{60'000};
};

struct RoutingWorkspace
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over that of the route.
};

/** One version of the configuration of the gateways; applied whole. */
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<RoutingRule> rules;
    std::vector<RoutingService> services;
    std::vector<RoutingWorkspace> workspaces; ///< Requests need no key if there are none.
    RoutingLimits limits;
};

} // namespace turmericline
