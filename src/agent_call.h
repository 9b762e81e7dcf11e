#pragma once

#include "document_type.h"
#include "h2_server.h"
#include "http_client.h"
#include "ledger_type.h"
#include "suspect_type.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** A request that an entry has sent to this agent. */
struct AgentCall
{
    using Clock = std::chrono::steady_clock;

    std::string requestId;
    std::string workspace;
    RequestClass requestClass = RequestClass::Interactive;
    std::string method;
    std::string path; ///< Path and query as sent to the backend server.
    std::string callerKey; ///< Idempotency-Key as sent to the backend server; empty if none.
    std::uint64_t id = 0; ///< Unique in this agent.
    double cost = 1; ///< Expected work in tokens.
    double weight = 1; ///< Queueing weight of the workspace's plan.
    bool isIdempotent = false;
    std::optional<std::uint64_t> resumeOffset;
    std::optional<Ticket> ticket; ///< Set for keyed calls.
    std::string fingerprint;
    std::vector<Fingerprint> parts; ///< Of messages that other calls may share.
    Clock::time_point deadline;
    std::shared_ptr<H2ServerStream> stream; ///< Null once the entry has closed it.
    std::vector<std::shared_ptr<H2ServerStream>> waiters; ///< Streams of later copies that wait for the answer.

    std::chrono::milliseconds retryAfter{0}; ///< Sent to the caller if the call is refused.
    int refusalStatus = 503;
    bool isHeld = false; ///< Has a slot, but must not start yet; see AgentIsolation.
    bool isRunning = false;
    std::uint64_t backendRun = 0; ///< Run of the backend server that the call was sent to.
    HttpClient::RequestId backendRequest = 0;
    Clock::time_point startedAt; ///< When it was sent to the backend server.
    std::optional<Clock::time_point> firstDataAt; ///< First bytes of the answer's body.
    Clock::time_point lastDataAt;
    int status = 0; ///< Of the backend server's answer; 0 before its head.
    bool headSent = false;
    Answer answer; ///< Kept for keyed calls only.
};

/** Reads the headers of POST /run. */
Result<AgentCall> parseAgentCall(const H2ServerStream &stream, std::chrono::steady_clock::time_point now);

/** Builds the request to the backend server. */
HttpClientRequest
backendRequest(const AgentCall &call, const std::string &backendUrl, std::string body, std::string contentType);

} // namespace turmericline
