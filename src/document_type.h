#pragma once

#include "name_table.h"
#include "pool_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Scheduling class of a request, from the highest to the lowest; the lowest is shed first. */
enum class RequestClass {
    Urgent,
    Interactive,
    Batch,
};

inline constexpr std::array<NamedValue<RequestClass>, 3> requestClassNames{{
    {RequestClass::Urgent, "urgent"},
    {RequestClass::Interactive, "interactive"},
    {RequestClass::Batch, "batch"},
}};

enum class ServiceKind {
    Model,
    Plain,
};

inline constexpr std::array<NamedValue<ServiceKind>, 2> serviceKindNames{{
    {ServiceKind::Model, "model"},
    {ServiceKind::Plain, "plain"},
}};

/** State of a backend server as set by operators. */
enum class ServerState {
    Entering, ///< Listed, but gets no work yet.
    Active,
    Leaving, ///< Finishes its current work and gets no new work.
};

inline constexpr std::array<NamedValue<ServerState>, 3> serverStateNames{{
    {ServerState::Entering, "entering"},
    {ServerState::Active, "active"},
    {ServerState::Leaving, "leaving"},
}};

/** One call of a plain service; a path that ends in '*' matches every path with that prefix. */
struct ServiceCall
{
    std::string method;
    std::string path;
    bool idempotent = false;
};

struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::Model;
    std::string model; ///< Name that callers put into "model"; empty for plain services.
    std::vector<ServiceCall> calls; ///< The first match applies.
    bool idempotent = false; ///< For calls that no row of @c calls matches.
    std::vector<std::string> keyOwners; ///< Backend servers whose agents bind plain idempotency keys, one per slot.
};

struct BackendServer
{
    std::string name;
    Id<Service> service;
    std::string domain; ///< Failure domain where it runs.
    std::string agent; ///< "IP:PORT" of its agent.
    ServerState state = ServerState::Active;
    bool checksFencing = false;
    bool checksCaller = false;
    std::uint32_t slots = 8; ///< Requests that the backend server runs at a time.
};

/** Limits and permissions of all workspaces that refer to the plan. */
struct Plan
{
    std::string name;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double weight = 1;
    RequestClass defaultClass = RequestClass::Interactive;
    std::vector<Id<Service>> services;
};

struct Workspace
{
    std::string name;
    std::vector<std::string> keyDigests; ///< First 16 bytes of SHA-256 of each key as 22 characters of base64url.
    Id<Plan> plan;
};

struct PlacementSettings
{
    double skewWeight = 0.5; ///< 0 counts only the cost of moves, 1 only the skew.
    std::uint32_t moveBudget = 64; ///< Largest number of expert moves per layer and window.
    std::optional<std::chrono::minutes> holdFrom; ///< Time of day (UTC) from which maps are held.
    std::optional<std::chrono::minutes> holdUntil;
};

/** A validated configuration document. */
struct Document
{
    std::uint64_t version = 0;
    std::chrono::seconds keyLifetime{120};
    Pool<Service> services;
    Pool<BackendServer> servers;
    Pool<Plan> plans;
    Pool<Workspace> workspaces;
    PlacementSettings placement;

    /** Index: workspace of each key digest. */
    std::unordered_map<std::string, Id<Workspace>, StringHash, std::equal_to<>> workspaceByKey;
    /** Index: backend servers of each service, by service index. */
    std::vector<std::vector<Id<BackendServer>>> serversByService;
};

/** Validation error and the JSON path where it was found, such as "$.plans[2].weight". */
struct DocumentError
{
    std::string path;
    std::string message;
};

} // namespace turmericline
