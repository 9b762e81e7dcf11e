#include "expert_balancer.h"
#include "map_delta.h"

#include "placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ranks = 12;
const ExpertLayout layout{4, 72, 8, 3};

/** Simulated expert counts of requests whose topic changes every 3 s; each topic uses mainly a few experts. */
class SimulatedDemand
{
public:
    SimulatedDemand()
        : m_choices(std::size_t{layout.layers} * layout.experts, 0)
    {
    }

    /** Choices of all ranks in the interval that ends at @p at. */
    ExpertChoices choicesUntil(std::chrono::milliseconds at)
    {
        std::mt19937 random(static_cast<std::uint32_t>(at / 3'000ms));
        std::vector<double> weights(m_choices.size());
        for (auto &it : weights) {
            it = 1 / std::pow(std::uniform_real_distribution<double>(0.02, 1.0)(random), 1.3);
        }
        for (std::size_t n = 0; n < m_choices.size(); ++n) {
            m_choices[n] = static_cast<std::uint64_t>(100 * ranks * weights[n]);
        }
        return m_choices;
    }

private:
    ExpertChoices m_choices;
};

} // namespace

/**
 * Guards against maps that exceed the limits of a rank or drop an expert, and against balancing that is hardly better
 * than a fixed map, ignores slow ranks or copies experts without need.
 */
class ExpertBalancerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExpertBalancerTest);
    CPPUNIT_TEST(followsChangingDemand);
    CPPUNIT_TEST(keepsTheLimitsOfRanks);
    CPPUNIT_TEST(proposesNothingWithoutDemand);
    CPPUNIT_TEST(proposesNothingWhenGoodEnough);
    CPPUNIT_TEST(ignoresCountsOfAnotherModel);
    CPPUNIT_TEST(relievesSlowRanks);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Replays 30 s of demand; a new map is proposed at most every 400 ms. */
    void followsChangingDemand()
    {
        ExpertBalancerConfig config;
        config.copiesPerSwitch = 4;
        ExpertBalancer balancer(config, layout, ranks);
        SimulatedDemand demand;
        auto map = initialMap(layout.layers, layout.experts, ranks);
        const auto initial = map;
        double balanced = 0;
        double fixed = 0;
        int windows = 0;
        for (auto at = 0ms; at < 30s; at += 200ms) {
            const TimePoint now = TimePoint(1'000s) + at;
            balancer.observe(now, demand.choicesUntil(at));
            if (at < 1s) {
                continue;
            }
            balanced += balancer.skew(map);
            fixed += balancer.skew(initial);
            ++windows;
            if (at % 400ms == 0ms) {
                if (auto proposal = balancer.propose(now, map)) {
                    map = std::move(proposal->map);
                }
            }
        }
        CPPUNIT_ASSERT(balanced / windows < 0.75 * fixed / windows);
    }

    void keepsTheLimitsOfRanks()
    {
        ExpertBalancerConfig config;
        config.copiesPerSwitch = 5; // Per rank in total, since the model has four layers.
        config.goalSkew = 1.0;
        ExpertBalancer balancer(config, layout, ranks);
        SimulatedDemand demand;
        auto map = initialMap(layout.layers, layout.experts, ranks);
        int proposals = 0;
        for (auto at = 0ms; at < 20s; at += 500ms) {
            const TimePoint now = TimePoint(1'000s) + at;
            balancer.observe(now, demand.choicesUntil(at));
            const auto proposal = balancer.propose(now, map);
            if (!proposal) {
                continue;
            }
            ++proposals;
            for (std::size_t r = 0; r < ranks; ++r) {
                std::size_t copies = 0;
                for (std::size_t l = 0; l < layout.layers; ++l) {
                    CPPUNIT_ASSERT(proposal->map[l][r].size() <= layout.slots);
                    const auto added = movesBetween({map[l][r]}, {proposal->map[l][r]});
                    CPPUNIT_ASSERT(added <= layout.maxNewExpertsPerSwitch);
                    copies += added;
                }
                CPPUNIT_ASSERT(copies <= config.copiesPerSwitch);
            }
            for (const auto &layer : proposal->map) {
                std::vector<int> held(layout.experts, 0);
                for (const auto &rank : layer) {
                    for (const auto it : rank) {
                        ++held[it];
                    }
                }
                CPPUNIT_ASSERT(*std::min_element(held.begin(), held.end()) > 0);
            }
            map = proposal->map;
        }
        CPPUNIT_ASSERT(proposals > 5);
    }

    void proposesNothingWithoutDemand()
    {
        ExpertBalancer balancer({}, layout, ranks);
        CPPUNIT_ASSERT(!balancer.propose(TimePoint(1'000s), initialMap(layout.layers, layout.experts, ranks)));
    }

    void proposesNothingWhenGoodEnough()
    {
        ExpertBalancer balancer({}, layout, ranks);
        const ExpertChoices even(std::size_t{layout.layers} * layout.experts, 1'000);
        balancer.observe(TimePoint(1'000s), even);
        balancer.observe(TimePoint(1'001s), even);
        CPPUNIT_ASSERT(!balancer.propose(TimePoint(1'001s), initialMap(layout.layers, layout.experts, ranks)));
    }

    /** All ranks of a pass wait for the slowest, so a slow rank must get less load. */
    void relievesSlowRanks()
    {
        ExpertBalancerConfig config;
        config.copiesPerSwitch = 4;
        ExpertBalancer balancer(config, layout, ranks);
        const ExpertChoices even(std::size_t{layout.layers} * layout.experts, 1'000);
        balancer.observe(TimePoint(1'000s), even);
        balancer.observe(TimePoint(1'001s), even);
        std::vector<double> slowdowns(ranks, 1.0);
        constexpr std::size_t slow = 5;
        slowdowns[slow] = 3.0;
        balancer.setSlowdowns(slowdowns);
        auto map = initialMap(layout.layers, layout.experts, ranks);
        for (int n = 0; n < 10; ++n) {
            if (auto proposal = balancer.propose(TimePoint(1'001s), map)) {
                map = std::move(proposal->map);
            }
        }
        for (const auto &layer : map) {
            const auto loads = rankLoads(layer, ExpertLoads(layout.experts, 1.0));
            CPPUNIT_ASSERT(loads[slow] < 0.7 * static_cast<double>(layout.experts) / ranks);
        }
    }

    /** Counts with a different number of experts, from another model, must be ignored. */
    void ignoresCountsOfAnotherModel()
    {
        ExpertBalancer balancer({}, layout, ranks);
        const ExpertChoices other(std::size_t{layout.layers} * layout.experts + 1, 1'000'000);
        balancer.observe(TimePoint(1'000s), other);
        balancer.observe(TimePoint(1'001s), other);
        CPPUNIT_ASSERT(!balancer.propose(TimePoint(1'001s), initialMap(layout.layers, layout.experts, ranks)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExpertBalancerTest);
