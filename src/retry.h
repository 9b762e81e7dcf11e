#pragma once

#include "quota_type.h"
#include "verdict_type.h"

#include <chrono>

namespace turmericline {

struct RetryConfig
{
    double budgetShare = 0.1; ///< Retries earned per successful request.
    /** Upper limit of saved retries. With a higher one all entries exceed the share at once when a domain fails. */
    double budgetBurst = 3;
    double budgetInitial = 1; ///< Retries available at start-up.
    /** Retries per second earned without traffic, up to one saved retry, for entries with too little of it. */
    double budgetFloor = 0.05;
    unsigned maxAttempts = 3;
    std::chrono::milliseconds backoff{10}; ///< Mean delay before the second attempt; doubles for the third.
    std::chrono::milliseconds minRetryAfter{1000}; ///< Lower bound of Retry-After, used up to full load.
    std::chrono::milliseconds maxRetryAfter{30'000}; ///< Upper bound of Retry-After.
};

/** Limits an entry's retries to a share of its successful requests, so that they cease when all requests fail. */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryConfig &config = {});

    void onSuccess();
    bool take(TimePoint now);
    double level() const;

private:
    RetryConfig m_config;
    double m_level = 0;
    TimePoint m_refilled{};
};

/** Outcome of the last attempt of a request, as far as it matters for a retry. */
struct AttemptResult
{
    Verdict verdict = Verdict::MayHaveRun;
    bool isIdempotent = false;
    unsigned attempts = 1; ///< Attempts sent so far, including this one.
    TimePoint deadline = TimePoint::max(); ///< Deadline of the caller's request.
    std::chrono::milliseconds expectedDuration{0}; ///< Expected duration of one more attempt.
    /**
     * False if the attempt put no load on a running server: the process was gone or refused all new requests.
     * The retry is then the first load that the request causes, so it is not charged to the budget.
     */
    bool hasLoadedServer = true;
};

enum class RetryReason {
    Allowed,
    Unsafe, ///< The request may have run and is not idempotent.
    Attempts,
    Deadline, ///< Another attempt is not expected to end before the deadline.
    Budget,
};

struct RetryDecision
{
    RetryReason reason = RetryReason::Unsafe;
    std::chrono::milliseconds delay{0}; ///< Delay before the next attempt.

    bool isRetry() const
    {
        return reason == RetryReason::Allowed;
    }
};

/** Decides whether a failed attempt is retried, and computes Retry-After for requests that are given up. */
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryConfig &config = {});

    /** @p random is uniform in [0, 1). Charges the budget only if the decision is a retry. */
    RetryDecision decide(TimePoint now, const AttemptResult &result, RetryBudget &budget, double random) const;

    /**
     * Computes Retry-After. @p load is the load offered to the servers of the service divided by their capacity. The
     * time is proportional to the overload; @p random adds jitter of up to the same length again, so that callers do
     * not retry at the same moment.
     */
    std::chrono::milliseconds retryAfter(double load, double random) const;

private:
    RetryConfig m_config;
};

/** Rounds up to whole seconds for the Retry-After header. */
long retryAfterSeconds(std::chrono::milliseconds time);

} // namespace turmericline
