#pragma once

#include "gateway_dialect.h"
#include "routing_table.h"
#include "time_type.h"
#include "verdict_type.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace turmericline {

/** A request that was read whole and routed. */
struct ExchangeRequest
{
    CallerFields caller;
    HttpHead head;
    std::string body;
    std::shared_ptr<const RoutingTable> table; ///< Owns the rule.
    const RoutingRule *rule = nullptr;
    std::string service;
    std::string workspace; ///< Empty without a key.
    std::uint32_t priority = 0;
    TimePoint arrived{};
};

/** Why an attempt ended without a whole answer, and whether the request may have run in it. */
struct AttemptFailure
{
    Verdict verdict = Verdict::MayHaveRun;
    BackendFault fault = BackendFault::Unreachable;
    std::string reason;
};

/** Sends the request to a server. */
struct StartAttempt
{
    std::string server;
    std::string address;
    ForwardFields fields;
};

/** Ends the attempt that is under way. */
struct StopAttempt
{
    bool keepsConnection = false; ///< The rest of the answer is read and dropped instead of closing the connection.
};

/** Starts the answer to the caller with the head of the server's answer. */
struct SendHead
{
    int status = 200;
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength; ///< Nothing: chunked.
};

struct SendBody
{
    std::string bytes;
};

/** Completes the answer. */
struct EndAnswer
{
};

/** Closes the caller's connection so that the answer does not look complete. */
struct AbortAnswer
{
};

/** Answers in the gateway's own name. */
struct Reply
{
    int status = 503;
    std::string reason;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using ExchangeAction = std::variant<StartAttempt, StopAttempt, SendHead, SendBody, EndAnswer, AbortAnswer, Reply>;
using ExchangeActions = std::vector<ExchangeAction>;

} // namespace turmericline
