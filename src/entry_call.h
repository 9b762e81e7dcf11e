#pragma once

#include "agent_pool.h"
#include "caller_request.h"
#include "keyed_call.h"
#include "metrics.h"
#include "quota_sync.h"
#include "retry.h"
#include "server_selector.h"
#include "suspect_reports.h"
#include "ticket_type.h"
#include "token_relay.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

class EntryCall;

/** Services of the entry that an EntryCall uses. */
struct EntryContext
{
    asio::io_context &io;
    const EntrySettings &settings;
    const std::shared_ptr<const Document> &document;
    AgentPool &agents;
    ServerSelector &selector;
    RetryBudget &retries;
    RetryBudget &resumptions; ///< For streams that have begun; separate, as half an answer is useless to its caller.
    Metrics &metrics;
    QuotaSync &quota;
    /** Returns a lower bound for the arrival time of any request read now, also after the process was suspended. */
    std::function<std::chrono::steady_clock::time_point()> earliestArrival;
    std::function<void(const EntryCall &)> onDone;
    SuspectSync &suspects;
    SuspectSubscriber &events;
};

/** Handles one request of a caller from its acceptance to the answer, over one or more attempts. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    using Clock = std::chrono::steady_clock;

    EntryCall(EntryContext &context, CallerRequest request, std::shared_ptr<HttpResponder> responder);

    void start();
    /** Called when the caller's connection was closed. */
    void onCallerDisconnect();

private:
    void onAdmitted();
    void onRateLimited(std::chrono::milliseconds retryAfter);
    void settleQuota(Verdict verdict);
    void attempt();
    std::shared_ptr<AgentPeer> chooseServer();
    RouteRequest routeRequest() const;
    std::chrono::milliseconds retryAfter() const;
    void send(const std::shared_ptr<AgentPeer> &peer);
    H2Request agentRequest() const;
    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view chunk);
    void onDone(const H2Result &result);
    void relayToCaller(std::string_view chunk);
    void endAttempt();
    void reportOutcome(const AgentPeer &peer, Verdict verdict);
    void retryAfterDelay(std::chrono::milliseconds delay);
    void onAttemptFailed(Verdict verdict, const std::string &reason);
    void onDeadline();
    void onNoServer();

    // Requests suspected of crashing servers; see SuspectTable.
    std::shared_ptr<AgentPeer> isolationPeer() const;
    bool isRefusedSuspect() const;
    /** Returns true if the agent refused the last attempt as a suspect, or if this entry refuses the request now. */
    bool isSuspectRefusal(Verdict verdict) const;
    void refuseSuspect(Verdict verdict);
    KeyedStep refuseKeyedSuspect();

    // Keyed non-idempotent calls; see KeyedCall.
    void perform(const KeyedStep &step);
    void sendBind(bool isSeal);
    void proposeAndBind(const std::shared_ptr<AgentPeer> &owner);
    void postBind(const std::shared_ptr<AgentPeer> &owner, const std::string &proposed);
    void sendSeal(const Ticket &ticket);
    void onKeyedDone(const H2Result &result, Verdict verdict, const std::string &reason);

    void answer();
    void finishStream(bool complete, Verdict verdict, const std::string &reason);
    Refusal unavailable(const std::string &reason, Verdict verdict) const;
    void giveUp(const Refusal &refusal);
    void close(Verdict verdict, int status, const std::string &reason);

    EntryContext &m_context;
    CallerRequest m_request;
    std::shared_ptr<HttpResponder> m_responder;
    Clock::time_point m_started;
    Clock::time_point m_deadline;
    asio::steady_timer m_timer;
    asio::steady_timer m_retryTimer;

    std::optional<KeyedCall> m_keyed; ///< Set for a non-idempotent call with a key.
    std::optional<Ticket> m_ticket; ///< Ticket of the keyed attempt in flight.
    bool m_isCharged = false; ///< Whether the request is charged against the workspace's limits.
    std::optional<Refusal> m_refusal; ///< Answer to a keyed call once its key is sealed.
    std::uint32_t m_attempts = 0;
    std::vector<std::string> m_tried;
    std::shared_ptr<AgentPeer> m_peer; ///< Agent of the attempt in flight.
    H2Client::StreamId m_stream = 0;
    bool m_isAgentUnavailable = false; ///< The connection to the agent failed, or the agent accepts no new work.
    bool m_mayHaveReachedServer = false; ///< Some attempt may have reached a backend server.
    int m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
    std::optional<std::chrono::milliseconds> m_retryAfter;

    TokenRelay m_relay;
    Clock::time_point m_attemptStarted;
    std::uint64_t m_attemptOffset = 0; ///< Offset of the next token when the attempt began.
    bool m_streamBegun = false;
    std::optional<Clock::duration> m_firstToken;
    Clock::time_point m_lastToken;
    bool m_isDone = false;
};

} // namespace turmericline
