#pragma once

#include "document.h"
#include "entry_settings.h"
#include "http_server.h"
#include "suspect_type.h"
#include "verdict_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace turmericline {

/** Error answer that the entry generates itself. */
struct Refusal
{
    int status = 400;
    std::string type; ///< Machine-readable kind, such as "invalid_request".
    std::string message;
    Verdict verdict = Verdict::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter;
    std::string allow = {}; ///< Allowed method, for status 405.
};

/** Validated request of a caller; does not refer to the document version that it was validated against. */
struct CallerRequest
{
    std::string id;
    std::string workspace;
    std::string plan;
    std::string service;
    ServiceKind kind = ServiceKind::Model;
    RequestClass requestClass = RequestClass::Interactive;
    std::string method;
    std::string path; ///< Path and query as sent to the backend server.
    std::string body;
    std::string contentType;
    std::string key; ///< Idempotency-Key; empty if none.
    std::chrono::milliseconds budget{};
    bool isStream = false;
    bool isIdempotent = false;
    std::uint64_t maxTokens = 0; ///< 0 if not given.
    /** Estimated tokens of prompt and answer together, from the size of the body and max_tokens. */
    std::uint64_t expectedTokens() const;

    std::string fingerprint; ///< Hash of workspace, service, path and body; 32 hexadecimal digits.
    std::vector<Fingerprint> parts; ///< Of the messages of a chat that other requests may share: all but the last one.
    std::uint64_t prefixHash = 0; ///< Hash of workspace and start of the prompt, for cache affinity.
};

/** Verdict of a call that an entry refuses without asking an agent: not-run unless an earlier copy may have run. */
Verdict refusalVerdict(bool isIdempotent, bool hasKey);

/** Refusal of a request whose method is not @p method. */
Refusal methodNotAllowed(const std::string &method);

/** Checks what applies to every path: number of connections, sizes, invalid and ambiguous headers. */
std::optional<Refusal> checkLimits(const EntrySettings &settings, const HttpRequest &request);

/** Validates a caller's request, which has passed checkLimits(), against the document. */
std::variant<CallerRequest, Refusal>
readCallerRequest(const Document &document, const EntrySettings &settings, const HttpRequest &request);

/** Returns the workspace of the bearer key in the Authorization header, or the refusal. */
std::variant<Id<Workspace>, Refusal> authenticate(const Document &document, const HttpRequest &request);

/** Returns the service named in the body of POST /v1/tickets, or the refusal. */
std::variant<Id<Service>, Refusal>
readTicketRequest(const Document &document, Id<Workspace> workspace, const HttpRequest &request);

/** Returns the JSON body of a refusal. */
std::string refusalBody(const Refusal &refusal);
/** Sends a refusal with its status, headers and body. */
void sendRefusal(HttpResponder &responder, const Refusal &refusal);

} // namespace turmericline
