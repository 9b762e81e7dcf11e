#include "retry_window.h"

#include "fuzz_property.h"

#include <deque>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against retry storms: in no span of the length of the window may retries exceed their share of requests. */
class RetryWindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryWindowTest);
    CPPUNIT_TEST(staysWithinBudgetInAnySpan);
    CPPUNIT_TEST(budgetGrowsWithRequests);
    CPPUNIT_TEST(limitsCanChange);
    CPPUNIT_TEST(allowancesOfAllGatewaysStayWithinSlack);
    CPPUNIT_TEST_SUITE_END();

    static void dropBefore(std::deque<TimePoint> &times, TimePoint before)
    {
        while (!times.empty() && times.front() < before) {
            times.pop_front();
        }
    }

public:
    void staysWithinBudgetInAnySpan()
    {
        const auto failure = counterexample("retries stay within the budget in any span", fuzzParams(400, 200), [] {
            const RetryWindowConfig config{10s, 0.2, 3};
            RetryWindow window(config);
            TimePoint now{100s};
            std::deque<TimePoint> retryTimes;
            std::deque<TimePoint> requestTimes;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4'000));
            for (const auto step : steps) {
                now += std::chrono::milliseconds(step / 2);
                if (step % 3 != 0) {
                    window.onRequest(now);
                    requestTimes.push_back(now);
                } else if (window.tryAcquireRetry(now)) {
                    retryTimes.push_back(now);
                    dropBefore(retryTimes, now - config.window);
                    // Requests are counted for one sub-window longer than retries.
                    dropBefore(requestTimes, now - config.window - 1s);
                    RC_ASSERT(static_cast<double>(retryTimes.size())
                              <= config.ratio * static_cast<double>(requestTimes.size()) + config.allowance);
                }
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }

    void budgetGrowsWithRequests()
    {
        RetryWindow window({10s, 0.2, 1});
        const TimePoint now{100s};
        CPPUNIT_ASSERT(window.tryAcquireRetry(now));
        CPPUNIT_ASSERT(!window.tryAcquireRetry(now));
        for (int n = 0; n < 5; ++n) {
            window.onRequest(now);
        }
        CPPUNIT_ASSERT(window.tryAcquireRetry(now + 1s));
        CPPUNIT_ASSERT(!window.tryAcquireRetry(now + 1s));
        CPPUNIT_ASSERT(window.tryAcquireRetry(now + 12s));
    }

    void limitsCanChange()
    {
        RetryWindow window({10s, 0, 1});
        const TimePoint now{100s};
        CPPUNIT_ASSERT(window.tryAcquireRetry(now));
        window.setLimits(0, 2);
        CPPUNIT_ASSERT(window.tryAcquireRetry(now));
        window.setLimits(0, 1);
        CPPUNIT_ASSERT(!window.tryAcquireRetry(now));
    }

    /** A fixed allowance of each gateway exceeds the slack of the fleet once there are enough of them. */
    void allowancesOfAllGatewaysStayWithinSlack()
    {
        for (const std::size_t gateways : {1U, 9U, 45U, 300U, 1'900U}) {
            const auto all = static_cast<double>(gateways) * retryAllowance(4, 94, gateways);
            CPPUNIT_ASSERT(all <= 94);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, retryAllowance(4, 94, 9), 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4, retryAllowance(4, 0, 300), 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryWindowTest);
