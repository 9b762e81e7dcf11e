#pragma once

#include <string_view>

/** Names of the headers between entries and agents. */
namespace turmericline::wire {

inline constexpr std::string_view request = "tl-request";
inline constexpr std::string_view attempt = "tl-attempt";
inline constexpr std::string_view workspace = "tl-workspace";
inline constexpr std::string_view requestClass = "tl-class";
inline constexpr std::string_view service = "tl-service";
inline constexpr std::string_view method = "tl-method";
inline constexpr std::string_view path = "tl-path";
inline constexpr std::string_view key = "tl-key"; ///< Ticket of a keyed call, or the plain key of POST /bind.
inline constexpr std::string_view callerKey = "tl-caller-key"; ///< Idempotency-Key for the backend server.
inline constexpr std::string_view ticket = "tl-ticket"; ///< Proposed or bound ticket of POST /bind.
inline constexpr std::string_view ownerAge = "tl-owner-age"; ///< INCARNATION.TICK of the owner, for POST /bind.
inline constexpr std::string_view idempotent = "tl-idempotent"; ///< "1" if it may be sent to the backend server twice.
inline constexpr std::string_view budgetMs = "tl-budget-ms";
inline constexpr std::string_view cost = "tl-cost"; ///< Estimated cost in tokens.
inline constexpr std::string_view weight = "tl-weight"; ///< Weight of the workspace's plan, in thousandths.
inline constexpr std::string_view resume = "tl-resume";
inline constexpr std::string_view fingerprint = "tl-fingerprint";
inline constexpr std::string_view parts = "tl-parts"; ///< Fingerprints of messages that other requests may share.
inline constexpr std::string_view suspect = "tl-suspect";
inline constexpr std::string_view contentType = "tl-content-type";

inline constexpr std::string_view incarnation = "tl-incarnation"; ///< INCARNATION.TICK of the responding agent.
inline constexpr std::string_view load = "tl-load"; ///< RUNNING.QUEUED of its backend server.
inline constexpr std::string_view refusing = "tl-refusing"; ///< "1" if the agent refuses all new requests.
inline constexpr std::string_view verdict = "tl-verdict";
inline constexpr std::string_view reason = "tl-reason";
inline constexpr std::string_view retryAfterMs = "tl-retry-after-ms";
inline constexpr std::string_view replayed = "tl-replayed";

} // namespace turmericline::wire
