#include "demand_estimate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t experts = 72;
constexpr auto passTime = 80ms;
constexpr auto shiftInterval = 3'200ms; ///< Interval at which the demand shifts.
constexpr double passChoices = 30'000;
/** Share of the choices of a pass that go to one random expert, as from a single large request. */
constexpr double noiseShare = 0.05;

/** Zipf-like demand over the experts, whose order is shuffled every few seconds. */
class ShiftingDemand
{
public:
    ExpertLoads at(std::chrono::milliseconds at)
    {
        std::mt19937 random(static_cast<std::uint32_t>(at / shiftInterval) + 1);
        std::vector<std::size_t> order(experts);
        std::iota(order.begin(), order.end(), 0);
        std::shuffle(order.begin(), order.end(), random);
        ExpertLoads loads(experts);
        double sum = 0;
        for (std::size_t n = 0; n < experts; ++n) {
            sum += loads[order[n]] = 1 / std::pow(static_cast<double>(n + 1), 1.2);
        }
        for (auto &it : loads) {
            it /= sum;
        }
        return loads;
    }

    /** Choices of one pass. */
    ExpertLoads pass(std::chrono::milliseconds time)
    {
        auto loads = at(time);
        for (auto &it : loads) {
            it *= passChoices * (1 - noiseShare);
        }
        loads[std::uniform_int_distribution<std::size_t>(0, experts - 1)(m_random)] += passChoices * noiseShare;
        return loads;
    }

private:
    std::mt19937 m_random{1};
};

/** Baseline: an exponentially decaying mean. */
class DecayingDemand
{
public:
    explicit DecayingDemand(std::chrono::milliseconds halfLife)
        : m_factor(std::exp2(-std::chrono::duration<double>(passTime) / std::chrono::duration<double>(halfLife)))
        , m_loads(experts, 0.0)
    {
    }

    void add(const ExpertLoads &pass)
    {
        for (std::size_t n = 0; n < experts; ++n) {
            m_loads[n] = m_loads[n] * m_factor + pass[n];
        }
    }

    const ExpertLoads &loads() const
    {
        return m_loads;
    }

private:
    double m_factor;
    ExpertLoads m_loads;
};

/** Share of the demand that an estimate assigns to the wrong experts. */
double error(const ExpertLoads &estimate, const ExpertLoads &demand)
{
    const double sum = std::accumulate(estimate.begin(), estimate.end(), 0.0);
    double wrong = 0;
    for (std::size_t n = 0; n < experts; ++n) {
        wrong += std::abs(estimate[n] / sum - demand[n]);
    }
    return wrong / 2;
}

void addPass(DemandEstimate &estimate, const ExpertLoads &pass)
{
    for (ExpertIndex n = 0; n < experts; ++n) {
        estimate.add(n, pass[n]);
    }
}

} // namespace

/** Guards against an estimate that lags behind shifts of the demand or follows the noise of single requests. */
class DemandEstimateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DemandEstimateTest);
    CPPUNIT_TEST(hasSmallerErrorThanDecayingMean);
    CPPUNIT_TEST(noiseIsNoShift);
    CPPUNIT_TEST(blockNeedsEnoughChoices);
    CPPUNIT_TEST(smallShiftIsSeenWhereBlocksUsuallyAgree);
    CPPUNIT_TEST_SUITE_END();

    static constexpr TimePoint start{1'000s};

public:
    /** Compares the error with that of decaying means, over one minute of demand that shifts every 3.2 s. */
    void hasSmallerErrorThanDecayingMean()
    {
        for (const auto halfLife : {150ms, 250ms, 500ms, 1'000ms}) {
            ShiftingDemand demand;
            DemandEstimate estimate({}, experts);
            DecayingDemand baseline(halfLife);
            double wrong = 0;
            double wrongBaseline = 0;
            for (auto at = 0ms; at < 60s; at += passTime) {
                const auto pass = demand.pass(at);
                addPass(estimate, pass);
                estimate.update(start + at);
                baseline.add(pass);
                if (at < 1s) {
                    continue;
                }
                wrong += error(estimate.loads(), demand.at(at));
                wrongBaseline += error(baseline.loads(), demand.at(at));
            }
            CPPUNIT_ASSERT(wrong < 0.7 * wrongBaseline);
        }
    }

    void noiseIsNoShift()
    {
        ShiftingDemand demand;
        DemandEstimate estimate({}, experts);
        for (auto at = 0ms; at < shiftInterval; at += passTime) {
            addPass(estimate, demand.pass(at));
            estimate.update(start + at);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, estimate.shifts());
        addPass(estimate, demand.pass(shiftInterval));
        estimate.update(start + shiftInterval);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, estimate.shifts());
    }

    void blockNeedsEnoughChoices()
    {
        DemandEstimate estimate({}, experts);
        estimate.add(3, 100);
        estimate.update(start);
        estimate.update(start + 1s);
        CPPUNIT_ASSERT_EQUAL(0.0, estimate.sum());
        estimate.add(3, 10'000);
        estimate.update(start + 2s);
        CPPUNIT_ASSERT_EQUAL(10'100.0, estimate.sum());
    }

    /**
     * With hundreds of requests in each block, blocks differ by 0.01 to 0.03 and a shift by 0.1, which is less than the
     * noise of a small group. The estimate then took seconds to follow a shift.
     */
    void smallShiftIsSeenWhereBlocksUsuallyAgree()
    {
        constexpr double movedShare = 0.1;
        for (const double noise : {0.02, 0.08}) {
            DemandEstimate estimate(DemandEstimateConfig{}, experts);
            std::mt19937 random(3);
            TimePoint now{1'000s};
            const auto addBlock = [&](std::size_t popular) {
                const auto noisy = std::uniform_int_distribution<std::size_t>(2, experts - 1)(random);
                for (std::size_t n = 0; n < experts; ++n) {
                    const double share = (1 - movedShare - noise) / experts + (n == popular ? movedShare : 0)
                                         + (n == noisy ? noise : 0);
                    estimate.add(static_cast<ExpertIndex>(n), passChoices * share);
                }
                now += passTime;
                estimate.update(now);
            };
            addBlock(0);
            for (int n = 0; n < 40; ++n) {
                addBlock(0);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, estimate.shifts());
            addBlock(1);
            addBlock(1);
            CPPUNIT_ASSERT_EQUAL(noise < 0.05 ? std::uint64_t{1} : std::uint64_t{0}, estimate.shifts());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemandEstimateTest);
