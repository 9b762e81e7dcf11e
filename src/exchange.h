#pragma once

#include "backend_table.h"
#include "event_splitter.h"
#include "exchange_type.h"
#include "retry_window.h"

#include <map>
#include <random>

namespace turmericline {

/** Tables that the requests of one gateway share. */
struct ExchangeTables
{
    BackendTable &backends;
    std::map<std::string, RetryWindow, std::less<>> &retries; ///< By service.
    RetryWindowConfig retryConfig;
    std::mt19937_64 &random;
};

/**
 * Life of one request, from arrival to the end of its answer. Takes events and the time, returns what to do, in order;
 * holds no socket and reads no clock. After an action that ends the answer it returns no more.
 *
 * A request that may run only once is never sent again after a byte of it may have reached a server. Statuses that
 * promise that the request has not run are sent only if that holds for each attempt.
 */
class Exchange
{
public:
    Exchange(ExchangeRequest request, ExchangeTables tables);

    ExchangeActions start(TimePoint now);
    ExchangeActions onHead(TimePoint now, const HttpHead &head, const AnswerFields &fields);
    ExchangeActions onBody(TimePoint now, std::string_view bytes);
    /** The answer is complete as the protocol tells. */
    ExchangeActions onEnd(TimePoint now);
    ExchangeActions onFailure(TimePoint now, const AttemptFailure &failure);
    ExchangeActions onTick(TimePoint now);
    ExchangeActions onCallerGone(TimePoint now);

    const ExchangeRequest &request() const
    {
        return m_request;
    }

    bool isEnded() const
    {
        return m_isEnded;
    }

    /** What is known at the end, for logs and metrics. */
    struct Summary
    {
        int status = 0; ///< 0 if no answer was started.
        Verdict verdict = Verdict::NotRun;
        std::uint32_t attempts = 0;
        std::string server; ///< Of the last attempt.
        std::string reason; ///< Of the last failure.
        std::optional<std::chrono::milliseconds> firstByte;
    };
    const Summary &summary() const
    {
        return m_summary;
    }

private:
    bool isStream() const;
    bool mayRepeat() const;
    bool hasAttemptsLeft() const;
    bool isWorthRepeating(TimePoint now, const HttpHead &head);
    TimePoint endOfTime() const;
    std::chrono::milliseconds silenceLimit() const;
    void attempt(TimePoint now, ExchangeActions &actions);
    void endAttempt(TimePoint now, const AttemptFailure &failure);
    void continueAfter(TimePoint now, const AttemptFailure &failure, ExchangeActions &actions);
    void giveUp(TimePoint now, ExchangeActions &actions);
    void refuse(TimePoint now, std::string reason, ExchangeActions &actions);
    void finish(ExchangeActions &actions, ExchangeAction last);
    void commit(TimePoint now, std::optional<std::uint64_t> length, ExchangeActions &actions);
    RetryWindow &retries();

    ExchangeRequest m_request;
    ExchangeTables m_tables;
    Summary m_summary;
    EventSplitter m_events;
    std::vector<std::string> m_tried;
    std::string m_server; ///< Of the attempt under way; empty if there is none.
    std::uint32_t m_misses = 0; ///< Attempts that reached no server.
    TimePoint m_attemptAt{};
    TimePoint m_lastBytesAt{};
    std::optional<SendHead> m_head; ///< Of the first good answer.
    std::string m_body; ///< Of an answer that is not passed on yet.
    bool m_isCommitted = false; ///< The caller has the head.
    bool m_mayHaveRun = false;
    bool m_isEnded = false;
};

} // namespace turmericline
