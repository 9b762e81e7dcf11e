#pragma once

#include "admission.h"
#include "backend_table.h"
#include "cold_start.h"
#include "crash_detector.h"
#include "event_splitter.h"
#include "exchange_type.h"
#include "part_suspect.h"
#include "retry_window.h"
#include "suspect.h"

#include <map>
#include <random>

namespace turmericline {

/** State that all requests of one gateway share. */
struct ExchangeContext
{
    BackendTable &backends;
    std::map<std::string, RetryWindow, std::less<>> &retries; ///< By service.
    RetryWindowConfig retryConfig;
    SuspectTable &suspects;
    PartSuspects &parts;
    CrashDetector &crashes;
    ServerLimits &limits;
    ColdStartLimits &coldStart;
    Admission &admission;
    std::mt19937_64 &random;
};

/**
 * State machine of one request, from its arrival to the end of its response. Each event returns the actions to execute,
 * in order; the caller passes in the time and does all input and output. No action follows one that ends the response.
 *
 * A request that may run at most once is never resent after any byte of it may have reached a server. A status that
 * guarantees that the request has not run is sent only if this holds for every attempt.
 *
 * If the server of a request ends under it, and a part of its prompt may be the cause, the request is not resent, since
 * it could end a server of another group as well. Its caller may come back.
 *
 * A request to a server with a limit needs a permit. If that has to be asked for, the request waits for the answer; without
 * a permit it goes to another server, or is refused at once if there is none.
 */
class Exchange
{
public:
    Exchange(ExchangeRequest request, ExchangeContext context);

    ExchangeActions start(TimePoint now);
    /** The owner of a limit has answered, or not in time. */
    ExchangeActions onPermitAnswer(TimePoint now);
    ExchangeActions onHead(TimePoint now, const HttpHead &head, const ResponseFields &fields);
    ExchangeActions onBody(TimePoint now, std::string_view bytes);
    /** The response is complete according to its framing. */
    ExchangeActions onEnd(TimePoint now);
    ExchangeActions onFailure(TimePoint now, const AttemptFailure &failure);
    ExchangeActions onTick(TimePoint now);
    ExchangeActions onCallerDisconnect(TimePoint now);
    /** The process is about to exit: ends the request with what is true of it. */
    ExchangeActions onStop(TimePoint now);
    /** Called if the server is not read for a time, as its caller reads slowly. */
    void onReadingPaused();

    const ExchangeRequest &request() const
    {
        return m_request;
    }

    bool isEnded() const
    {
        return m_isEnded;
    }

    /** Result of the request, for logs and metrics. */
    struct Summary
    {
        int status = 0; ///< 0 if no response was started.
        Verdict verdict = Verdict::NotRun;
        std::uint32_t attempts = 0;
        std::string server; ///< Of the last attempt.
        std::string reason; ///< Of the last failure.
        std::optional<std::chrono::milliseconds> firstByte;
        std::vector<FailedAttempt> failedAttempts;
        std::vector<ServerStatement> statements;
        std::vector<LimitDenial> limitDenials;
        std::uint32_t coldDenials = 0; ///< Cold servers that were left out for lack of a slot.
        std::optional<AdmissionBasis> admission; ///< If the request was refused for the load of the servers.
        bool hasClearedSuspicion = false; ///< The request was suspected of crashing servers, and has completed.
    };
    const Summary &summary() const
    {
        return m_summary;
    }

private:
    bool isStream() const;
    bool mayRetry() const;
    bool hasAttemptsLeft() const;
    bool shouldRetry(TimePoint now, const HttpHead &head);
    SuspectDecision suspectDecision(TimePoint now) const;
    bool mayEndServers(const AttemptFailure &failure) const;
    bool hadServerEnded() const;
    void recordSound(TimePoint now);
    void retry(TimePoint now, bool usesBudget, ExchangeActions &actions);
    void retryUnlessServerEnded(TimePoint now, ExchangeActions &actions);
    TimePoint effectiveDeadline() const;
    std::chrono::milliseconds silenceTimeout() const;
    void attempt(TimePoint now, ExchangeActions &actions);
    bool isAdmitted(TimePoint now);
    std::chrono::milliseconds waitTarget() const;
    void onEvent(TimePoint now);
    std::optional<BackendPick> choose(TimePoint now);
    std::optional<BackendPick> chooseOther(TimePoint now, std::span<const std::string> excluded) const;
    bool takeColdStartSlot(TimePoint now, const ServerIncarnation &server, PermitVerdict permit);
    std::optional<BackendPick> chooseWithPermit(TimePoint now, ExchangeActions &actions);
    void recordDenial(TimePoint now, const std::string &server, TimePoint until);
    bool hasUnlimitedServer(TimePoint now) const;
    void applyStatements(TimePoint now, const ResponseFields &fields);
    void endAttempt(TimePoint now, const AttemptFailure &failure);
    void abandonAttempt(TimePoint now, std::string reason, ExchangeActions &actions);
    void recordFailure(TimePoint now, Verdict verdict, std::optional<BackendFault> fault, std::string reason);
    void retryOrGiveUp(TimePoint now, const AttemptFailure &failure, ExchangeActions &actions);
    void giveUp(TimePoint now, ExchangeActions &actions);
    std::chrono::milliseconds retryDelay(TimePoint now) const;
    void refuse(std::chrono::milliseconds retryAfter, ExchangeActions &actions);
    void refuseSuspect(TimePoint now, const SuspectDecision &decision, ExchangeActions &actions);
    void finish(ExchangeActions &actions, ExchangeAction last);
    void commit(TimePoint now, std::optional<std::uint64_t> length, ExchangeActions &actions);
    RetryWindow &retries();

    ExchangeRequest m_request;
    ExchangeContext m_context;
    Summary m_summary;
    EventSplitter m_events;
    std::vector<std::string> m_excluded; ///< Servers that were tried, or whose limits have no room.
    std::optional<ServerIncarnation> m_server; ///< Server of the current attempt.
    std::string m_address; ///< Its address.
    bool m_hasColdSlot = false; ///< The current attempt has spent a slot of a cold server.
    bool m_hasPermit = false; ///< The current attempt has spent a permit.
    std::optional<std::string> m_awaitedServer; ///< Server for which a permit has been asked for.
    std::optional<std::string> m_preferredServer; ///< The same, after the answer; chosen before others.
    std::uint32_t m_permitsAsked = 0;
    std::uint32_t m_unreachedAttempts = 0; ///< Attempts that did not reach a server.
    TimePoint m_attemptAt{};
    TimePoint m_lastProgressAt{}; ///< Start of the attempt, head of the answer, or last bytes; of a stream, last event.
    std::optional<TimePoint> m_firstEventAt; ///< Of the current attempt.
    std::optional<TimePoint> m_lastEventAt; ///< Of the current attempt.
    bool m_isAdmitted = false;
    std::vector<std::string> m_fullGroups; ///< Groups that take no further request of this priority.
    double m_urgentShare = 0; ///< Part of the demand that is more urgent, if the request is not admitted.
    bool m_isSound = false; ///< The server of the current attempt has got on with the answer.
    std::optional<ServerIncarnation> m_failedServer; ///< Server of the last failed attempt.
    std::optional<TimePoint> m_retryAt; ///< Waits until then for evidence that the server has ended.
    std::optional<SendHead> m_head; ///< Head of the accepted response.
    std::string m_body; ///< Received part of the body that has not been forwarded yet.
    bool m_isCommitted = false; ///< The head has been sent to the caller.
    bool m_mayHaveRun = false;
    bool m_isEnded = false;
};

} // namespace turmericline
