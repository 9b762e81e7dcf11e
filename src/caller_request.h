#pragma once

#include "document.h"
#include "entry_settings.h"
#include "http_server.h"
#include "verdict_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace turmericline {

/** An answer that the entry gives by itself. */
struct Refusal
{
    int status = 400;
    std::string type; ///< Machine-readable kind, such as "invalid_request".
    std::string message;
    Verdict verdict = Verdict::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter;
    std::string allow = {}; ///< Method that a 405 names.
};

/** A valid request of a caller, independent of the document version it was read under. */
struct CallerRequest
{
    std::string id;
    std::string workspace;
    std::string plan;
    std::string service;
    ServiceKind kind = ServiceKind::Model;
    RequestClass requestClass = RequestClass::Interactive;
    std::string method;
    std::string path; ///< As the backend server gets it, with the query.
    std::string body;
    std::string contentType;
    std::string key; ///< Idempotency-Key; empty if none.
    std::chrono::milliseconds budget{};
    bool isStream = false;
    bool isIdempotent = false;
    std::uint64_t maxTokens = 0; ///< 0 if not given.
    /** Prompt and answer together, from the size of the body and max_tokens. */
    std::uint64_t expectedTokens() const;

    std::string fingerprint; ///< 32 hex digits over workspace, service and body.
    std::uint64_t prefixHash = 0; ///< Of the workspace and the start of the prompt, for cache affinity.
};

/** Says whether the call can be told not-run by an entry alone: not if an earlier copy may have run. */
Verdict refusalVerdict(bool isIdempotent, bool hasKey);

/** The refusal of a method other than @p method. */
Refusal wrongMethod(const std::string &method);

/** Refuses what holds for every path: too many connections, oversize, ambiguous headers. */
std::optional<Refusal> checkLimits(const EntrySettings &settings, const HttpRequest &request);

/** Validates a caller's request, which has passed checkLimits(), against the document. */
std::variant<CallerRequest, Refusal>
readCallerRequest(const Document &document, const EntrySettings &settings, const HttpRequest &request);

/** Workspace of the bearer key in the Authorization header, or the refusal. */
std::variant<Id<Workspace>, Refusal> authenticate(const Document &document, const HttpRequest &request);

/** Service named by the body of POST /v1/tickets, or the refusal. */
std::variant<Id<Service>, Refusal>
readTicketRequest(const Document &document, Id<Workspace> workspace, const HttpRequest &request);

/** JSON body of a refusal. */
std::string refusalBody(const Refusal &refusal);
/** Sends a refusal with its headers. */
void sendRefusal(HttpResponder &responder, const Refusal &refusal);

} // namespace turmericline
