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

/** Scheduling class of a request; later ones are shed first. */
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

/** Operators' intent for a backend server. */
enum class ServerState {
    Entering, ///< Listed, not yet given new work.
    Active,
    Leaving, ///< Finishes its work and gets no new work.
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
    std::vector<ServiceCall> calls; ///< First match wins.
    bool idempotent = false; ///< For calls that no row of @c calls matches.
    std::vector<std::string> keyOwners; ///< Names of the backend servers whose agents bind plain keys, one per slot.
};

struct BackendServer
{
    std::string name;
    Id<Service> service;
    std::string domain; ///< Failure domain.
    std::string agent; ///< "IP:PORT" of its agent.
    ServerState state = ServerState::Active;
    bool checksFencing = false;
    bool checksCaller = false;
    std::uint32_t slots = 8; ///< Requests that the backend server runs at a time.
};

/** Limits and rights shared by all workspaces that refer to it. */
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
    std::vector<std::string> keyDigests; ///< 22-character base64url of the first 16 bytes of SHA-256 of a key.
    Id<Plan> plan;
};

struct PlacementSettings
{
    double skewWeight = 0.5; ///< 0 counts only the cost of moves, 1 only the skew.
    std::uint32_t moveBudget = 64; ///< Moves per layer and window at most.
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

    /** Index over the key digests of all workspaces. */
    std::unordered_map<std::string, Id<Workspace>, StringHash, std::equal_to<>> workspaceByKey;
    /** Backend servers of each service, by index of the service. */
    std::vector<std::vector<Id<BackendServer>>> serversByService;
};

/** A fault of a document and the JSON path where it was found, such as "$.plans[2].weight". */
struct DocumentFault
{
    std::string path;
    std::string message;
};

} // namespace turmericline
