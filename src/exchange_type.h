#pragma once

#include "gateway_dialect.h"
#include "routing_table.h"
#include "server_limit.h"
#include "suspect_type.h"
#include "time_type.h"
#include "verdict_type.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace turmericline {

/** State of the store on which the choice of a backend server rests. */
struct ServerBasis
{
    StorePosition position;
    std::optional<std::chrono::milliseconds> age; ///< Since the store last confirmed it; nothing before the first read.
};

/** A request that has been read completely and matched to a route. */
struct ExchangeRequest
{
    CallerFields caller;
    HttpHead head;
    std::string body;
    std::shared_ptr<const RoutingTable> table; ///< Keeps the rule alive.
    const RoutingRule *rule = nullptr;
    std::string service;
    std::string workspace; ///< Empty if the request was admitted without an API key.
    std::uint32_t priority = 0;
    Fingerprint fingerprint; ///< The same for all copies of the request that the caller sends.
    std::optional<std::set<std::string>>
        allowedDomains; ///< Failure domains to which the request may go; all if not set.
    std::vector<Fingerprint> parts; ///< Of the parts of the prompt that other requests may share, in order.
    TimePoint arrived{};
    ServerBasis servers; ///< On arrival.
};

/** Why an attempt ended without a complete response, and whether the server may have run the request. */
struct AttemptFailure
{
    Verdict verdict = Verdict::MayHaveRun;
    BackendFault fault = BackendFault::Unreachable;
    std::string reason;
};

/** An attempt that has ended without a complete response, for logs and metrics. */
struct FailedAttempt
{
    ServerIncarnation server;
    Verdict verdict = Verdict::MayHaveRun;
    std::optional<BackendFault> fault; ///< Nothing if the gateway stopped the attempt for another reason.
    std::string reason;
    std::chrono::milliseconds duration{};
    std::chrono::milliseconds silence{}; ///< Time since the server last made progress, or since the start.
};

/** What a server stated about itself in an answer, for logs. */
struct ServerStatement
{
    ServerIncarnation server;
    bool isLeaving = false; ///< Stated for the first time.
    std::optional<std::chrono::milliseconds> retryAfter;
    bool hasInvalidLimit = false; ///< It states a limit that is not a number, for the first time.
};

/** A server that the request was not sent to because of its limit, for logs. */
struct LimitDenial
{
    std::string server;
    LimitBasis basis;
    std::chrono::milliseconds wait{}; ///< Time until this gateway may get a permit.
};

/** Asks the owner of the server's limit for a permit; Exchange::onPermitAnswer() has to follow in any case. */
struct AskPermit
{
    std::string server;
};

/** Sends the request to a backend server. */
struct StartAttempt
{
    std::string server;
    std::string address;
    ForwardFields fields;
};

/** Cancels the current attempt. */
struct StopAttempt
{
    bool keepsConnection = false; ///< Discards the rest of the response instead of closing the connection.
};

/** Forwards the head of the server's response to the caller. */
struct SendHead
{
    int status = 200;
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength; ///< The body is sent in chunks if this is not set.
};

struct SendBody
{
    std::string bytes;
};

/** Completes the response to the caller. */
struct EndResponse
{
};

/** Closes the caller's connection, so that the caller can tell that the response is incomplete. */
struct AbortResponse
{
};

/** Sends a response that the gateway generates itself. */
struct Reply
{
    int status = 503;
    std::string reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using ExchangeAction
    = std::variant<AskPermit, StartAttempt, StopAttempt, SendHead, SendBody, EndResponse, AbortResponse, Reply>;
using ExchangeActions = std::vector<ExchangeAction>;

} // namespace turmericline
