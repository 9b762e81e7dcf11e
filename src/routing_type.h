#pragma once

#include "name_table.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** Whether the requests of a route may be retried, and how they are answered. */
enum class RouteKind {
    Safe, ///< Idempotent; may be retried after it has run.
    Unsafe, ///< Must run at most once.
    Stream, ///< Answered with server-sent events; must run at most once unless the stream can be resumed.
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
    std::string prefix; ///< Of the path; begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    std::chrono::milliseconds timeout{60'000}; ///< From the arrival of the request to the end of the response.
    std::chrono::milliseconds latencyTarget{1'000}; ///< Until the response, or the first event of a stream.
    std::optional<std::chrono::milliseconds> gapTarget; ///< Longest pause between events for a stream to be in time.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::vector<RoutingTarget> targets;
    std::uint32_t maxAttempts = 1; ///< Limit of backend servers that one request is sent to.
    bool allowsAnonymous = false;
    bool isResumable = false; ///< Another server can resume a stream after the last event received.
    std::vector<std::string> allowedRegions; ///< Requests go to servers in these only; all regions if empty.

    bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && isResumable);
    }
};

/** Limits on how the experts of a model are distributed over the ranks of a group. */
struct ExpertLayout
{
    std::uint32_t layers = 0; ///< Number of sets of layers; each set has its own map.
    std::uint32_t experts = 0; ///< Per layer.
    std::uint32_t slots = 0; ///< Maximum number of experts of one layer that a rank holds.
    /** Maximum number of experts of one layer that a rank copies per change of map. */
    std::uint32_t maxNewExpertsPerSwitch = 0;
};

/** How fast the engine of a backend server works on tokens. */
struct EngineProfile
{
    double stepMs = 0; ///< Time of a step, in which each running request gets a token.
    double requestMs = 0; ///< Added to that for each running request.
    double promptTokensPerMs = 1; ///< Speed of reading prompts.
    std::uint32_t slots = 1; ///< Requests that run at once.
    double usualPromptTokens = 0;
    double usualAnswerTokens = 0;

    bool operator==(const EngineProfile &) const = default;
};

struct RoutingService
{
    std::string name;
    std::uint32_t maxConnections = 64; ///< Connections that one backend server accepts in total.
    std::string healthPath; ///< Path of the servers' health check; empty if it is not known.
    std::chrono::milliseconds coldStart{0}; ///< Time for which a server is cold after its start.
    double coldRequestsPerSecond = 0; ///< Requests of all gateways that a cold server takes; 0 if none is ever cold.
    std::optional<EngineProfile> engine; ///< Only set for services with model engines.
    std::optional<ExpertLayout> experts; ///< Only set if the servers are ranks that share the experts of a model.
};

/** Size limits and timeouts of callers' requests. */
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
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    std::vector<std::string> allowedRegions = {}; ///< As in RoutingRule; both lists apply.
};

/** One version of the gateways' configuration; always applied as a whole. */
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::vector<RoutingRule> rules;
    std::vector<RoutingService> services;
    std::vector<RoutingWorkspace> workspaces; ///< If empty, requests need no API key.
    RoutingLimits limits;
};

} // namespace turmericline
