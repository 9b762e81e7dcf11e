#include "placement.h"
#include "placement_trace.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>

using namespace turmericline;

namespace {

struct Case
{
    PlacementShape shape;
    PlacementPolicy policy = PlacementPolicy::Static;
    PlacementOptions options;
    std::vector<std::vector<ExpertLoads>> windows;
};

/** Generates stable, shifting and empty windows, so that the adaptive policy does change its map. */
rc::Gen<std::vector<std::vector<ExpertLoads>>> genWindows(std::size_t experts, std::size_t layers)
{
    return rc::gen::exec([=] {
        const auto base = *rc::gen::container<std::vector<int>>(experts, rc::gen::inRange(0, 1000));
        const auto count = *rc::gen::inRange<std::size_t>(1, 14);
        std::vector<std::vector<ExpertLoads>> windows(count, {layers, ExpertLoads(experts, 0.0)});
        for (auto &window : windows) {
            const bool isEmpty = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
            const auto shift = *rc::gen::weightedElement<std::size_t>({{5, 0}, {1, 1}, {1, 7}});
            for (std::size_t l = 0; l < layers && !isEmpty; ++l) {
                for (std::size_t e = 0; e < experts; ++e) {
                    window[l][e] = base[(e + shift + l) % experts] + *rc::gen::inRange(0, 20);
                }
            }
        }
        return windows;
    });
}

Case generateCase()
{
    Case c;
    c.shape.ranks = *rc::gen::inRange<std::size_t>(1, 10);
    c.shape.slots = *rc::gen::inRange<std::size_t>(1, 7);
    c.shape.experts = *rc::gen::inRange<std::size_t>(1, c.shape.ranks * c.shape.slots + 1);
    c.policy = *rc::gen::element(
        PlacementPolicy::Static, PlacementPolicy::Rebuild, PlacementPolicy::RebuildMatched, PlacementPolicy::Adaptive);
    c.options.skewWeight = *rc::gen::element(0.0, 0.2, 0.5, 1.0);
    if (*rc::gen::arbitrary<bool>()) {
        c.options.moveBudget = *rc::gen::inRange<std::size_t>(0, 12);
    }
    c.windows = *genWindows(c.shape.experts, *rc::gen::inRange<std::size_t>(1, 3));
    return c;
}

/** Replays a case; returns the maps indexed by window and layer. */
std::vector<std::vector<ExpertMap>> replayMaps(const Case &c)
{
    const auto layers = c.windows.front().size();
    const auto placer = makePlacer(c.policy, c.shape, layers, c.options);
    std::vector<std::vector<ExpertMap>> maps;
    for (const auto &window : c.windows) {
        maps.emplace_back();
        for (std::size_t l = 0; l < layers; ++l) {
            maps.back().push_back(placer->map(l));
        }
        placer->observe(window);
    }
    return maps;
}

void checkMap(const PlacementShape &shape, const ExpertMap &map)
{
    RC_ASSERT(map.size() == shape.ranks);
    std::set<ExpertIndex> seen;
    for (const auto &rank : map) {
        RC_ASSERT(rank.size() <= shape.slots);
        RC_ASSERT(std::set<ExpertIndex>(rank.begin(), rank.end()).size() == rank.size());
        seen.insert(rank.begin(), rank.end());
    }
    RC_ASSERT(seen.size() == shape.experts);
    RC_ASSERT(*seen.rbegin() == shape.experts - 1);
}

/** Computes the skew expert by expert, independently of the code under test, which sums by rank. */
double oracleSkew(const ExpertMap &map, const ExpertLoads &loads)
{
    std::map<std::size_t, double> perRank;
    double total = 0.0;
    for (ExpertIndex e = 0; e < loads.size(); ++e) {
        std::vector<std::size_t> holders;
        for (std::size_t r = 0; r < map.size(); ++r) {
            if (std::count(map[r].begin(), map[r].end(), e) > 0) {
                holders.push_back(r);
            }
        }
        for (const auto r : holders) {
            perRank[r] += loads[e] / static_cast<double>(holders.size());
        }
        total += loads[e];
    }
    double largest = 0.0;
    for (const auto &[rank, load] : perRank) {
        largest = std::max(largest, load);
    }
    return total == 0.0 ? 1.0 : largest / (total / static_cast<double>(map.size()));
}

std::size_t oracleMoves(const ExpertMap &before, const ExpertMap &after)
{
    std::set<std::pair<std::size_t, ExpertIndex>> held;
    for (std::size_t r = 0; r < before.size(); ++r) {
        for (const auto it : before[r]) {
            held.emplace(r, it);
        }
    }
    std::size_t moves = 0;
    for (std::size_t r = 0; r < after.size(); ++r) {
        for (const auto it : after[r]) {
            moves += held.count({r, it}) == 0 ? 1 : 0;
        }
    }
    return moves;
}

void checkWindows(const Case &c)
{
    const auto maps = replayMaps(c);
    const auto first = roundRobinMap(c.shape);
    for (std::size_t w = 0; w < maps.size(); ++w) {
        std::size_t moves = 0;
        for (std::size_t l = 0; l < maps[w].size(); ++l) {
            checkMap(c.shape, maps[w][l]);
            RC_ASSERT(w > 0 || maps[w][l] == first);
            RC_ASSERT(std::abs(skewOf(maps[w][l], c.windows[w][l]) - oracleSkew(maps[w][l], c.windows[w][l])) < 1e-9);
            RC_ASSERT(skewOf(maps[w][l], c.windows[w][l]) > skewLowerBound(c.shape, c.windows[w][l]) - 1e-9);
            const auto &before = w == 0 ? first : maps[w - 1][l];
            RC_ASSERT(movesBetween(before, maps[w][l]) == oracleMoves(before, maps[w][l]));
            moves += movesBetween(before, maps[w][l]);
        }
        const bool isLimited = c.policy == PlacementPolicy::Adaptive && c.options.moveBudget;
        RC_ASSERT(!isLimited || moves <= *c.options.moveBudget);
    }
}

void checkNoLookAhead(Case c)
{
    const auto maps = replayMaps(c);
    const auto from = *rc::gen::inRange<std::size_t>(0, c.windows.size());
    const auto other = *genWindows(c.shape.experts, c.windows.front().size());
    for (std::size_t w = from; w < c.windows.size(); ++w) {
        c.windows[w] = other[w % other.size()];
    }
    const auto changed = replayMaps(c);
    RC_ASSERT(std::equal(maps.begin(), maps.begin() + static_cast<std::ptrdiff_t>(from) + 1, changed.begin()));
}

std::string setting(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

/**
 * Guards against maps that drop an expert or exceed the slots or the move budget, against wrong skew and moves, and
 * against policies that use loads of later windows.
 */
class PlacementFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementFuzzTest);
    CPPUNIT_TEST(mapsKeepTheInvariants);
    CPPUNIT_TEST(laterWindowsDoNotChangeAMap);
    CPPUNIT_TEST_SUITE_END();

public:
    void mapsKeepTheInvariants()
    {
        CPPUNIT_ASSERT(rc::check("maps, skew and moves", [] {
            checkWindows(generateCase());
        }));
    }

    void laterWindowsDoNotChangeAMap()
    {
        CPPUNIT_ASSERT(rc::check("no look-ahead", [] {
            checkNoLookAhead(generateCase());
        }));
    }

    PlacementFuzzTest()
    {
        const auto parameters = "seed=" + setting("FUZZ_SEED", "20") + " max_success=" + setting("FUZZ_STEPS", "2000");
        std::cout << "rapidcheck: " << parameters << '\n';
        setenv("RC_PARAMS", parameters.c_str(), 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementFuzzTest);
