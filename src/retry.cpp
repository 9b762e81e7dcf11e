#include "retry.h"

#include <algorithm>
#include <cmath>

namespace turmericline {

RetryBudget::RetryBudget(const RetryConfig &config)
    : m_config(config)
    , m_level(std::min(config.budgetInitial, config.budgetBurst))
{
}

void RetryBudget::onSuccess()
{
    m_level = std::min(m_level + m_config.budgetShare, m_config.budgetBurst);
}

bool RetryBudget::take(TimePoint now)
{
    if (m_refilled != TimePoint{} && m_level < 1) {
        const double elapsed = std::chrono::duration<double>(now - m_refilled).count();
        m_level = std::min(1.0, m_level + m_config.budgetFloor * elapsed);
    }
    m_refilled = now;
    if (m_level < 1) {
        return false;
    }
    m_level -= 1;
    return true;
}

double RetryBudget::level() const
{
    return m_level;
}

RetryPolicy::RetryPolicy(const RetryConfig &config)
    : m_config(config)
{
}

RetryDecision RetryPolicy::decide(TimePoint now, const AttemptResult &result, RetryBudget &budget, double random) const
{
    if (result.verdict != Verdict::NotRun && !result.isIdempotent) {
        return {RetryReason::Unsafe, {}};
    }
    if (result.attempts >= m_config.maxAttempts) {
        return {RetryReason::Attempts, {}};
    }
    const double factor = std::exp2(static_cast<double>(result.attempts) - 1) * (0.5 + random);
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(m_config.backoff * factor);
    if (result.deadline != TimePoint::max() && now + delay + result.expectedDuration > result.deadline) {
        return {RetryReason::Deadline, {}};
    }
    if (result.hasLoadedServer && !budget.take(now)) {
        return {RetryReason::Budget, {}};
    }
    return {RetryReason::Allowed, delay};
}

std::chrono::milliseconds RetryPolicy::retryAfter(double load, double random) const
{
    // Retries spread over a period proportional to the load arrive no faster than the servers can process them.
    const double baseMs = static_cast<double>(m_config.minRetryAfter.count()) * std::max(load, 1.0);
    const double longestMs = static_cast<double>(m_config.maxRetryAfter.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::min(baseMs, longestMs / 2) * (1 + random)));
}

long retryAfterSeconds(std::chrono::milliseconds time)
{
    return static_cast<long>((time.count() + 999) / 1000);
}

} // namespace turmericline
