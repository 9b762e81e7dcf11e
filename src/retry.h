#pragma once

#include "quota_type.h"
#include "verdict_type.h"

#include <chrono>

namespace turmericline {

struct RetryConfig
{
    double budgetShare = 0.1; ///< Retries per successful request.
    /** Retries that may be saved up. More lets all entries exceed the share together when a domain is lost. */
    double budgetBurst = 3;
    double budgetInitial = 1; ///< At the start.
    /** Budget per second of an entry with too little traffic to earn one; it is saved up to one retry only. */
    double budgetFloor = 0.05;
    unsigned maxAttempts = 3;
    std::chrono::milliseconds backoff{10}; ///< Before the second attempt; doubles for the third.
    std::chrono::milliseconds shortestReturn{1000}; ///< Base of Retry-After at full load.
    std::chrono::milliseconds longestReturn{30'000};
};

/** Retries that an entry may still send; they follow successful traffic, so that they vanish when everything fails. */
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

/** How the last attempt of a request ended. */
struct AttemptResult
{
    Verdict verdict = Verdict::MayHaveRun;
    bool isIdempotent = false;
    unsigned attempts = 1; ///< Sent so far, this one included.
    TimePoint deadline = TimePoint::max(); ///< Of the caller.
    std::chrono::milliseconds expectedDuration{0}; ///< Of one more attempt.
    /**
     * False if the attempt cannot have loaded a server that is still up: its process was gone or refused all new work.
     * Repeating it offers the request to the others for the first time, so it costs no budget.
     */
    bool hasLoadedServer = true;
};

enum class RetryReason {
    Allowed,
    Unsafe, ///< It may have been run and must not run twice.
    Attempts,
    Deadline, ///< One more attempt could not end in time.
    Budget,
};

struct RetryDecision
{
    RetryReason reason = RetryReason::Unsafe;
    std::chrono::milliseconds delay{0}; ///< Before the next attempt.

    bool isRetry() const
    {
        return reason == RetryReason::Allowed;
    }
};

/** Decides whether a failed attempt is repeated, and otherwise when the caller may come back. */
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetryConfig &config = {});

    /** @p random is uniform in [0, 1). Takes from the budget only if the answer is a retry. */
    RetryDecision decide(TimePoint now, const AttemptResult &result, RetryBudget &budget, double random) const;

    /**
     * Time for Retry-After. @p load is the work offered to the servers of the service divided by what they can do; the
     * time grows with the overload and is spread by @p random over as long again, so that callers do not come back
     * together.
     */
    std::chrono::milliseconds retryAfter(double load, double random) const;

private:
    RetryConfig m_config;
};

/** Value of the Retry-After header, in whole seconds, rounded up. */
long retryAfterSeconds(std::chrono::milliseconds time);

} // namespace turmericline
