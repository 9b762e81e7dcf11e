#pragma once

#include "document_format.h"
#include "document_type.h"

#include <tuple>

namespace turmericline {

/** Name, description and constraints of a field. Its type follows from the member that it fills. */
struct FieldRule
{
    std::string_view name;
    std::string_view title;
    std::string_view description;
    bool required = false;
    double min = 0; ///< Smallest value of a number, or shortest length of a list.
    double max = 0; ///< Largest value of a number, or longest length of a list.
    TextFormat format = TextFormat::Text; ///< Format of a text or of each text in a list.
};

/** One field of T. Parser, printer and schema are all driven by these rows. */
template<typename T, typename Member>
struct FieldRow
{
    Member T::*member;
    FieldRule rule;
};

template<typename T, typename Member>
constexpr FieldRow<T, Member> field(Member T::*member, FieldRule rule)
{
    return {member, rule};
}

/** Field table of T: @c rows is a tuple of FieldRow. */
template<typename T>
struct Fields;

inline constexpr bool required = true;
inline constexpr bool optional = false;
/** Largest integer that every JSON implementation represents exactly: 2^53 - 1. */
inline constexpr double maxInteger = 9007199254740991;
inline constexpr double maxRate = 1e9;
inline constexpr double maxItems = 100000;

template<>
struct Fields<ServiceCall>
{
    static constexpr std::tuple rows{
        field(&ServiceCall::method,
              {"method", "Method", "HTTP method of the call.", required, 0, 0, TextFormat::Method}),
        field(&ServiceCall::path,
              {"path",
               "Path",
               "Path after /services/NAME; a trailing * matches every path with that prefix.",
               required,
               0,
               0,
               TextFormat::CallPath}),
        field(&ServiceCall::idempotent,
              {"idempotent", "Idempotent", "The call may be repeated without harm.", optional}),
    };
};

template<>
struct Fields<Service>
{
    static constexpr std::tuple rows{
        field(&Service::name, {"name", "Name", "Unique name of the service.", required, 0, 0, TextFormat::Name}),
        field(&Service::kind, {"kind", "Kind", "Model engine or plain service.", required}),
        field(&Service::model,
              {"model", "Model", "Name that callers send as \"model\"; for model services.", optional}),
        field(&Service::calls,
              {"calls", "Calls", "Calls of the service; the first that matches counts.", optional, 0, 1000}),
        field(&Service::idempotent,
              {"idempotent", "Idempotent otherwise", "Holds for calls that no row of the calls matches.", optional}),
        field(&Service::keyOwners,
              {"key_owners",
               "Key owners",
               "Backend servers that bind plain idempotency keys, one per slot. Needed if a call is not idempotent.",
               optional,
               0,
               4096,
               TextFormat::ServerName}),
    };
};

template<>
struct Fields<BackendServer>
{
    static constexpr std::tuple rows{
        field(&BackendServer::name,
              {"name",
               "Name",
               "Unique name of the backend server; never used again after its removal.",
               required,
               0,
               0,
               TextFormat::ServerName}),
        field(&BackendServer::service, {"service", "Service", "Service that it runs.", required}),
        field(&BackendServer::domain,
              {"domain", "Failure domain", "Failure domain where it runs.", required, 0, 0, TextFormat::Name}),
        field(&BackendServer::agent,
              {"agent", "Agent", "IP:PORT of the agent beside it.", required, 0, 0, TextFormat::Endpoint}),
        field(&BackendServer::state,
              {"state", "State", "Entering and leaving backend servers get no new work.", optional}),
        field(&BackendServer::checksFencing,
              {"checks_fencing", "Checks fencing", "Rejects an order that has an old fencing token.", optional}),
        field(&BackendServer::checksCaller,
              {"checks_caller", "Checks caller", "Rejects orders of callers other than its agent.", optional}),
        field(&BackendServer::slots, {"slots", "Slots", "Requests that it runs at a time.", optional, 1, 65536}),
    };
};

template<>
struct Fields<Plan>
{
    static constexpr std::tuple rows{
        field(&Plan::name, {"name", "Name", "Unique name of the plan.", required, 0, 0, TextFormat::Name}),
        field(&Plan::requestsPerSecond,
              {"requests_per_s", "Requests/s", "Request rate of each workspace.", required, 0, maxRate}),
        field(&Plan::tokensPerSecond,
              {"tokens_per_s", "Tokens/s", "Token rate of each workspace.", required, 0, maxRate}),
        field(&Plan::weight, {"weight", "Weight", "Share of a busy backend server.", optional, 0.001, 1e6}),
        field(&Plan::defaultClass, {"class", "Class", "Scheduling class of requests that name none.", optional}),
        field(&Plan::services, {"services", "Services", "Services that may be called.", required, 0, 4096}),
    };
};

template<>
struct Fields<Workspace>
{
    static constexpr std::tuple rows{
        field(&Workspace::name, {"name", "Name", "Unique name of the workspace.", required, 0, 0, TextFormat::Name}),
        field(&Workspace::keyDigests,
              {"keys",
               "Key digests",
               "First 16 bytes of SHA-256 of each key as base64url.",
               required,
               0,
               16,
               TextFormat::KeyDigest}),
        field(&Workspace::plan, {"plan", "Plan", "Plan with its limits and rights.", required}),
    };
};

template<>
struct Fields<PlacementSettings>
{
    static constexpr std::tuple rows{
        field(&PlacementSettings::skewWeight,
              {"skew_weight", "Skew weight", "0 counts only the cost of moves, 1 only the skew.", optional, 0, 1}),
        field(&PlacementSettings::moveBudget,
              {"move_budget", "Move budget", "Expert moves per layer and window.", optional, 0, 1e6}),
        field(&PlacementSettings::holdFrom,
              {"hold_from",
               "Hold from",
               "Time of day (UTC) from which maps are held.",
               optional,
               0,
               0,
               TextFormat::TimeOfDay}),
        field(&PlacementSettings::holdUntil,
              {"hold_until",
               "Hold until",
               "Time of day (UTC) until which maps are held.",
               optional,
               0,
               0,
               TextFormat::TimeOfDay}),
    };
};

/** The parser fills the fields in this order, so the target of a reference must precede the reference. */
template<>
struct Fields<Document>
{
    static constexpr std::tuple rows{
        field(&Document::version, {"version", "Version", "Raised by every change.", required, 1, maxInteger}),
        field(&Document::keyLifetime,
              {"key_lifetime_s", "Key lifetime", "Seconds for which a key is remembered.", optional, 5, 86400}),
        field(&Document::services, {"services", "Services", "Model and plain services.", required, 0, maxItems}),
        field(&Document::servers,
              {"backend_servers", "Backend servers", "Servers behind the load balancer.", required, 0, maxItems}),
        field(&Document::plans, {"plans", "Plans", "Limits and rights of workspaces.", required, 0, maxItems}),
        field(&Document::workspaces, {"workspaces", "Workspaces", "Callers' workspaces.", required, 0, maxItems}),
        field(&Document::placement, {"placement", "Placement", "Placement of experts on ranks.", optional}),
    };
};

constexpr const auto &namesOf(RequestClass /*type*/)
{
    return requestClassNames;
}

constexpr const auto &namesOf(ServiceKind /*type*/)
{
    return serviceKindNames;
}

constexpr const auto &namesOf(ServerState /*type*/)
{
    return serverStateNames;
}

template<typename Entity>
const Pool<Entity> &poolOf(const Document &document)
{
    if constexpr (std::is_same_v<Entity, Service>) {
        return document.services;
    } else {
        static_assert(std::is_same_v<Entity, Plan>);
        return document.plans;
    }
}

/** Calls @p f for every row of the field table of T. */
template<typename T, typename F>
void forEachField(F &&f)
{
    std::apply(
        [&](const auto &...row) {
            (f(row), ...);
        },
        Fields<T>::rows);
}

} // namespace turmericline
