#include "retry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against repeated side effects, retry storms and callers that retry at the same moment. */
class RetryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryTest);
    CPPUNIT_TEST(retriesOnlyWhenSafe);
    CPPUNIT_TEST(respectsMaxAttemptsAndDeadline);
    CPPUNIT_TEST(budgetFollowsSuccess);
    CPPUNIT_TEST(idleEntryEarnsOneRetry);
    CPPUNIT_TEST(unsafeCallTakesNoBudget);
    CPPUNIT_TEST(retryAfterGrowsWithLoadAndJitter);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};

    RetryReason decide(Verdict verdict, bool isIdempotent, unsigned attempts = 1, TimePoint deadline = TimePoint::max())
    {
        RetryBudget budget;
        return RetryPolicy().decide(m_now, {verdict, isIdempotent, attempts, deadline, 100ms}, budget, 0.5).reason;
    }

public:
    void retriesOnlyWhenSafe()
    {
        CPPUNIT_ASSERT(decide(Verdict::NotRun, false) == RetryReason::Allowed);
        CPPUNIT_ASSERT(decide(Verdict::MayHaveRun, true) == RetryReason::Allowed);
        CPPUNIT_ASSERT(decide(Verdict::MayHaveRun, false) == RetryReason::Unsafe);
        CPPUNIT_ASSERT(decide(Verdict::Run, false) == RetryReason::Unsafe);
    }

    void respectsMaxAttemptsAndDeadline()
    {
        CPPUNIT_ASSERT(decide(Verdict::NotRun, true, 2) == RetryReason::Allowed);
        CPPUNIT_ASSERT(decide(Verdict::NotRun, true, 3) == RetryReason::Attempts);
        CPPUNIT_ASSERT(decide(Verdict::NotRun, true, 1, m_now + 109ms) == RetryReason::Deadline);
        CPPUNIT_ASSERT(decide(Verdict::NotRun, true, 1, m_now + 110ms) == RetryReason::Allowed);
    }

    void budgetFollowsSuccess()
    {
        RetryBudget budget;
        CPPUNIT_ASSERT(budget.take(m_now));
        int taken = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onSuccess();
            taken += budget.take(m_now) ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken >= 99 && taken <= 100);
    }

    /** An entry without successes must neither lose its retries for good nor accumulate more than one. */
    void idleEntryEarnsOneRetry()
    {
        RetryBudget budget;
        CPPUNIT_ASSERT(budget.take(m_now));
        CPPUNIT_ASSERT(!budget.take(m_now + 1s));
        CPPUNIT_ASSERT(budget.take(m_now + 300s));
        CPPUNIT_ASSERT(!budget.take(m_now + 300s));
    }

    /** A call that is never retried must not consume the budget of other calls. */
    void unsafeCallTakesNoBudget()
    {
        RetryBudget budget;
        const double before = budget.level();
        RetryPolicy().decide(m_now, {Verdict::MayHaveRun, false, 1, TimePoint::max(), 0ms}, budget, 0.5);
        CPPUNIT_ASSERT_EQUAL(before, budget.level());
    }

    void retryAfterGrowsWithLoadAndJitter()
    {
        const RetryPolicy policy;
        CPPUNIT_ASSERT(policy.retryAfter(0.5, 0) == 1000ms);
        CPPUNIT_ASSERT(policy.retryAfter(3, 0) == 3000ms);
        CPPUNIT_ASSERT(policy.retryAfter(3, 0.5) == 4500ms);
        CPPUNIT_ASSERT(policy.retryAfter(1e9, 0.999) <= 30'000ms);
        CPPUNIT_ASSERT_EQUAL(2L, retryAfterSeconds(1001ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryTest);
