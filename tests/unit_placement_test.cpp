#include "placement.h"
#include "placement_trace.h"
#include "plan_tool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <numeric>
#include <sstream>
#include <unistd.h>

using namespace turmericline;

namespace {

struct Totals
{
    double skew = 0.0;
    double moves = 0.0;
};

Totals replay(PlacementPolicy policy,
              const PlacementShape &shape,
              const PlacementTrace &trace,
              const PlacementOptions &options = {})
{
    Totals totals;
    const auto placer = makePlacer(policy, shape, trace.layers.size(), options);
    std::vector<ExpertMap> before;
    for (const auto &window : trace.windows) {
        for (std::size_t l = 0; l < window.size(); ++l) {
            totals.skew += skewOf(placer->map(l), window[l]);
            totals.moves += before.empty() ? 0.0 : static_cast<double>(movesBetween(before[l], placer->map(l)));
        }
        before.clear();
        for (std::size_t l = 0; l < window.size(); ++l) {
            before.push_back(placer->map(l));
        }
        placer->observe(window);
    }
    totals.skew /= static_cast<double>(trace.windows.size() * trace.layers.size());
    return totals;
}

struct ToolRun
{
    int status = 0;
    std::string out;
    std::string err;
};

ToolRun runTool(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "plan");
    std::ostringstream out;
    std::ostringstream err;
    const int status = runPlan(static_cast<int>(arguments.size()), arguments.data(), out, err);
    return {status, out.str(), err.str()};
}

/** Temporary trace file; removed by the destructor. */
class TraceFile
{
public:
    explicit TraceFile(std::string_view text)
        : m_path("/tmp/turmericline-trace-" + std::to_string(getpid()) + ".csv")
    {
        std::ofstream(m_path) << text;
    }

    ~TraceFile()
    {
        std::remove(m_path.c_str());
    }

    TraceFile(const TraceFile &) = delete;
    TraceFile &operator=(const TraceFile &) = delete;

    const char *path() const
    {
        return m_path.c_str();
    }

private:
    std::string m_path;
};

} // namespace

/**
 * Guards against wrong skew and moves, against accepting invalid input, and against an adaptive policy that misses its
 * targets of skew and moves relative to the rebuild policies.
 */
class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(skewSplitsTokensEvenly);
    CPPUNIT_TEST(movesCountNewCopiesOnly);
    CPPUNIT_TEST(roundRobinFillsSlotsWithoutRepeats);
    CPPUNIT_TEST(packingReplicatesTheHotExpert);
    CPPUNIT_TEST(matchingUndoesAPermutation);
    CPPUNIT_TEST(capacityIsChecked);
    CPPUNIT_TEST(invalidTracesNameTheLine);
    CPPUNIT_TEST(missingRowsAreZero);
    CPPUNIT_TEST(toolPrintsOneLinePerWindowAndLayer);
    CPPUNIT_TEST(toolRejectsBadArguments);
    CPPUNIT_TEST(weightBudgetAndHoldLimitMoves);
    CPPUNIT_TEST(shiftIsFollowedWithinOneWindow);
    CPPUNIT_TEST(adaptiveMeetsSkewAndMoveTargets);
    CPPUNIT_TEST_SUITE_END();

    static std::string traceError(const std::string &text, std::optional<std::size_t> experts = {})
    {
        std::istringstream in(text);
        return parseTrace(in, experts).reason;
    }

    static void checkTargets(TraceKind kind, const PlacementShape &shape, std::uint64_t seed)
    {
        const auto trace = generateTrace({kind, seed, 60, 2, shape.experts});
        const auto rebuild = replay(PlacementPolicy::Rebuild, shape, trace);
        const auto matched = replay(PlacementPolicy::RebuildMatched, shape, trace);
        const auto adaptive = replay(PlacementPolicy::Adaptive, shape, trace);
        const std::string where = std::string(nameOf(traceKindNames, kind)) + " " + std::to_string(shape.ranks) + "/"
                                  + std::to_string(shape.slots) + " seed " + std::to_string(seed);
        CPPUNIT_ASSERT_MESSAGE(where + ": skew", adaptive.skew <= 1.03 * rebuild.skew);
        CPPUNIT_ASSERT_MESSAGE(where + ": moves", adaptive.moves <= 0.1 * rebuild.moves);
        CPPUNIT_ASSERT_MESSAGE(where + ": matched", adaptive.moves <= 0.5 * matched.moves);
    }

public:
    void skewSplitsTokensEvenly()
    {
        // Rank 0: 30 / 2 + 10 = 25, rank 1: 30 / 2 + 20 = 35, mean 30.
        const ExpertMap map{{0, 1}, {0, 2}};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(35.0 / 30.0, skewOf(map, {30, 10, 20}), 1e-12);
        CPPUNIT_ASSERT_EQUAL(1.0, skewOf(map, {0, 0, 0}));
        // Three slots for two experts on three ranks: the larger expert gets two copies of 30, mean 80 / 3.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(90.0 / 80.0, skewLowerBound({3, 1, 2}, {60, 20}), 1e-12);
    }

    void movesCountNewCopiesOnly()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, movesBetween({{0, 1}, {2}}, {{1}, {2}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, movesBetween({{0, 1}, {2}}, {{0, 2}, {1}}));
    }

    void roundRobinFillsSlotsWithoutRepeats()
    {
        CPPUNIT_ASSERT((roundRobinMap({2, 2, 4}) == ExpertMap{{0, 2}, {1, 3}}));
        CPPUNIT_ASSERT((roundRobinMap({2, 3, 4}) == ExpertMap{{0, 1, 2}, {0, 1, 3}}));
        CPPUNIT_ASSERT((roundRobinMap({2, 9, 3}) == ExpertMap{{0, 1, 2}, {0, 1, 2}}));
    }

    void packingReplicatesTheHotExpert()
    {
        CPPUNIT_ASSERT((copiesByLoad({2, 2, 3}, {90, 10, 10}) == std::vector<std::size_t>{2, 1, 1}));
        CPPUNIT_ASSERT((packedMap({2, 2, 3}, {90, 10, 10}) == ExpertMap{{0, 1}, {0, 2}}));
    }

    void matchingUndoesAPermutation()
    {
        const ExpertMap map{{0, 1}, {2, 3}, {4, 5}};
        CPPUNIT_ASSERT((matchedMap(map, {{4, 5}, {0, 1}, {2, 3}}) == map));
    }

    void capacityIsChecked()
    {
        CPPUNIT_ASSERT(shapeError({2, 2, 4}).empty());
        CPPUNIT_ASSERT(shapeError({2, 2, 5}) == "2 ranks with 2 slots cannot hold 5 experts");
        CPPUNIT_ASSERT(!shapeError({0, 2, 1}).empty());
    }

    void invalidTracesNameTheLine()
    {
        const std::string header = "window,layer,expert,tokens\n";
        CPPUNIT_ASSERT(traceError(header + "0,0,0,5\n0,0,1\n").starts_with("line 3: expected 4 fields"));
        CPPUNIT_ASSERT(traceError(header + "0,0,0,-1\n").starts_with("line 2: tokens"));
        CPPUNIT_ASSERT(traceError(header + "0,0,0,nan\n").starts_with("line 2: tokens"));
        CPPUNIT_ASSERT(traceError(header + "0,0,0,1\n0,x,0,1\n").starts_with("line 3: layer"));
        CPPUNIT_ASSERT(traceError(header + "0,0,0,1\n-1,0,0,1\n").starts_with("line 3: window"));
        CPPUNIT_ASSERT(traceError(header + "1,0,0,1\n0,0,0,1\n1,0,0,2\n").starts_with("line 4: this window"));
        CPPUNIT_ASSERT(traceError(header + "0,0,4,1\n", 4).starts_with("line 2: expert 4 is outside"));
        CPPUNIT_ASSERT(traceError("").starts_with("line 1:"));
        CPPUNIT_ASSERT(traceError("a,b\n0,0,0,1\n").starts_with("line 1:"));
    }

    void missingRowsAreZero()
    {
        std::istringstream in("2,7,1,5\n4,3,0,6\n");
        const auto trace = parseTrace(in);
        CPPUNIT_ASSERT(trace);
        CPPUNIT_ASSERT_EQUAL(2U, trace.value->firstWindow);
        CPPUNIT_ASSERT((trace.value->layers == std::vector<std::uint32_t>{3, 7}));
        using Window = std::vector<ExpertLoads>;
        const std::vector<Window> expected{{{0, 0}, {0, 5}}, {{0, 0}, {0, 0}}, {{6, 0}, {0, 0}}};
        CPPUNIT_ASSERT(trace.value->windows == expected);
    }

    void toolPrintsOneLinePerWindowAndLayer()
    {
        const TraceFile file("window,layer,expert,tokens\n0,0,0,3\n0,0,1,1\n1,0,0,3\n1,0,1,1\n");
        const auto run
            = runTool({"--trace", file.path(), "--ranks", "2", "--slots", "1", "--policy", "static", "--json"});
        CPPUNIT_ASSERT_EQUAL(0, run.status);
        std::istringstream lines(run.out);
        std::string line;
        for (int w = 0; w < 2; ++w) {
            std::getline(lines, line);
            const nlohmann::json expected{
                {"window", w}, {"layer", 0}, {"map", {{0}, {1}}}, {"moves", 0}, {"skew", 1.5}};
            CPPUNIT_ASSERT(nlohmann::json::parse(line) == expected);
        }
        CPPUNIT_ASSERT(!std::getline(lines, line));
    }

    void toolRejectsBadArguments()
    {
        const TraceFile file("0,0,0,3\n0,0,1,1\nx\n");
        const auto broken = runTool({"--trace", file.path(), "--ranks", "2", "--slots", "1"});
        CPPUNIT_ASSERT_EQUAL(1, broken.status);
        CPPUNIT_ASSERT(broken.err.find("line 3") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1, runTool({"--trace", "/nonexistent", "--ranks", "2", "--slots", "1"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runTool({"--generate", "sideways"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runTool({"--trace", file.path(), "--ranks", "0", "--slots", "1"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runTool({"--trace", file.path(), "--ranks", "1"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runTool({"--unknown"}).status);
    }

    void weightBudgetAndHoldLimitMoves()
    {
        const PlacementShape shape{8, 10, 64};
        const auto trace = generateTrace({TraceKind::SuddenShift, 1, 20, 3, 64});
        CPPUNIT_ASSERT_EQUAL(0.0, replay(PlacementPolicy::Adaptive, shape, trace, {0.0, {}}).moves);
        CPPUNIT_ASSERT_EQUAL(0.0, replay(PlacementPolicy::Adaptive, shape, trace, {0.5, 0}).moves);
        const auto placer = makePlacer(PlacementPolicy::Adaptive, shape, 3, {0.5, 4});
        std::size_t total = 0;
        for (const auto &window : trace.windows) {
            const std::vector<ExpertMap> before{placer->map(0), placer->map(1), placer->map(2)};
            placer->observe(window);
            std::size_t moves = 0;
            for (std::size_t l = 0; l < before.size(); ++l) {
                moves += movesBetween(before[l], placer->map(l));
            }
            CPPUNIT_ASSERT(moves <= 4);
            total += moves;
        }
        CPPUNIT_ASSERT(total > 0);
        const auto held = makePlacer(PlacementPolicy::Adaptive, shape, 3, {});
        held->observe(trace.windows[0], true);
        CPPUNIT_ASSERT(held->map(0) == roundRobinMap(shape));
        held->observe(trace.windows[1]);
        CPPUNIT_ASSERT(held->map(0) != roundRobinMap(shape));
    }

    void shiftIsFollowedWithinOneWindow()
    {
        // After 20 uniform windows, the load of expert 40 rises to 30 times that of the others. The map that is chosen
        // after one such window must already be balanced.
        const PlacementShape shape{8, 10, 64};
        const auto placer = makePlacer(PlacementPolicy::Adaptive, shape, 1, {});
        ExpertLoads loads(64, 100.0);
        for (int w = 0; w < 20; ++w) {
            placer->observe(std::vector<ExpertLoads>{loads});
        }
        CPPUNIT_ASSERT(placer->map(0) == roundRobinMap(shape));
        loads[40] = 3000.0;
        placer->observe(std::vector<ExpertLoads>{loads});
        CPPUNIT_ASSERT(skewOf(placer->map(0), loads) < 1.1);
    }

    void adaptiveMeetsSkewAndMoveTargets()
    {
        for (const auto &it : traceKindNames) {
            for (const auto &shape :
                 {PlacementShape{8, 10, 64}, PlacementShape{32, 3, 64}, PlacementShape{24, 4, 32}}) {
                checkTargets(it.value, shape, 11);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
