#include "latency_stats.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

using namespace turmericline;
using std::chrono::nanoseconds;

/** Compares percentiles with an exact computation; all published measurements depend on them. */
class LatencyStatsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LatencyStatsTest);
    CPPUNIT_TEST(emptyIsZero);
    CPPUNIT_TEST(nearestRank);
    CPPUNIT_TEST(errorIsWithinBound);
    CPPUNIT_TEST_SUITE_END();

    /** RapidCheck reads its parameters at the first check, and uses a random seed if none is set. */
    static void useFixedSeed()
    {
        const char *seed = std::getenv("FUZZ_SEED");
        const char *steps = std::getenv("FUZZ_STEPS");
        const auto params = "seed=" + std::string(seed ? seed : "1") + " max_success=" + (steps ? steps : "100");
        setenv("RC_PARAMS", params.c_str(), 0);
    }

public:
    void emptyIsZero()
    {
        const LatencyStats stats;
        CPPUNIT_ASSERT(stats.count() == 0 && stats.percentile(0.99) == nanoseconds(0));
    }

    void nearestRank()
    {
        LatencyStats stats;
        for (int i = 1; i <= 100; ++i) {
            stats.record(nanoseconds(i));
        }
        stats.record(nanoseconds(-5));
        CPPUNIT_ASSERT(stats.percentile(0) == nanoseconds(0));
        CPPUNIT_ASSERT(stats.percentile(0.5) == nanoseconds(50));
        CPPUNIT_ASSERT(stats.percentile(1) == nanoseconds(100));
    }

    void errorIsWithinBound()
    {
        useFixedSeed();
        // Also checks that splitting the samples and merging the two halves does not change the result.
        CPPUNIT_ASSERT(
            rc::check([](const std::vector<std::uint32_t> &samples, std::uint8_t percent, std::uint8_t shift) {
                RC_PRE(!samples.empty());
                LatencyStats stats;
                LatencyStats other;
                std::vector<std::int64_t> exact;
                for (const auto it : samples) {
                    exact.push_back(std::int64_t{it} << (shift % 24U));
                    (exact.size() % 2 == 0 ? stats : other).record(nanoseconds(exact.back()));
                }
                stats.merge(other);
                std::sort(exact.begin(), exact.end());
                const double share = std::min<int>(percent, 100) / 100.0;
                const auto rank = std::max(1.0, std::ceil(share * static_cast<double>(exact.size())));
                const auto expected = exact[static_cast<std::size_t>(rank) - 1];
                const auto got = stats.percentile(share).count();
                RC_ASSERT(got >= expected);
                RC_ASSERT(got - expected <= expected / 128);
                RC_ASSERT(stats.max().count() == exact.back());
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatencyStatsTest);
