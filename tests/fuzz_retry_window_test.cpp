#include "retry_window.h"

#include "fuzz_property.h"

#include <deque>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against retry storms: in no span of the length of the window may retries exceed their share of requests. */
class RetryWindowTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryWindowTest);
    CPPUNIT_TEST(holdsInAnySpan);
    CPPUNIT_TEST(earnsWithRequests);
    CPPUNIT_TEST_SUITE_END();

    static void forget(std::deque<TimePoint> &times, TimePoint before)
    {
        while (!times.empty() && times.front() < before) {
            times.pop_front();
        }
    }

public:
    void holdsInAnySpan()
    {
        const auto failure = counterexample("retries stay within the budget in any span", fuzzParams(400, 200), [] {
            const RetryWindowConfig config{10s, 0.2, 3};
            RetryWindow window(config);
            TimePoint now{100s};
            std::deque<TimePoint> repeats;
            std::deque<TimePoint> requests;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4'000));
            for (const auto step : steps) {
                now += std::chrono::milliseconds(step / 2);
                if (step % 3 != 0) {
                    window.onRequest(now);
                    requests.push_back(now);
                } else if (window.takeRepeat(now)) {
                    repeats.push_back(now);
                    forget(repeats, now - config.window);
                    // Requests are counted for one part of the window longer than retries.
                    forget(requests, now - config.window - 1s);
                    RC_ASSERT(static_cast<double>(repeats.size())
                              <= config.ratio * static_cast<double>(requests.size()) + config.allowance);
                }
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }

    void earnsWithRequests()
    {
        RetryWindow window({10s, 0.2, 1});
        const TimePoint now{100s};
        CPPUNIT_ASSERT(window.takeRepeat(now));
        CPPUNIT_ASSERT(!window.takeRepeat(now));
        for (int n = 0; n < 5; ++n) {
            window.onRequest(now);
        }
        CPPUNIT_ASSERT(window.takeRepeat(now + 1s));
        CPPUNIT_ASSERT(!window.takeRepeat(now + 1s));
        CPPUNIT_ASSERT(window.takeRepeat(now + 12s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryWindowTest);
