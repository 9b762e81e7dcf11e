#include "group_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against a pass that ranks begin with different maps, and against a hold that is never released, when orders
 * and answers are lost or late and processes restart.
 */
class MapSwitchFuzz : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MapSwitchFuzz);
    CPPUNIT_TEST(switchesWithoutFaults);
    CPPUNIT_TEST(oneMapUnderEachFault);
    CPPUNIT_TEST(oneMapUnderAllFaults);
    CPPUNIT_TEST(detectsArmingWithoutHold);
    CPPUNIT_TEST(detectsReleaseBeforeArming);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds faultTime{60'000};
    /** Orders can be up to 12 s late, and a switch with a refused arm order waits for them before it ends. */
    static constexpr std::chrono::milliseconds recoveryTime{45'000};

    /**
     * Returns an empty string if all ranks always used the same map, and if passes and map switches continued after the
     * faults had ended; otherwise a description of the failure.
     */
    static std::string runScenario(const GroupFaults &faults, std::uint64_t seed)
    {
        GroupSimulation simulation(faults, seed);
        auto failure = simulation.run(faultTime, true);
        if (failure.empty()) {
            failure = simulation.run(recoveryTime, false);
        }
        if (!failure.empty()) {
            return "seed " + std::to_string(seed) + ": " + failure;
        }
        const auto before = simulation.passes();
        const auto switches = simulation.switches();
        failure = simulation.run(10s, false);
        if (failure.empty() && simulation.passes() < before + 100) {
            failure = "fewer than 100 passes in 10 s without faults";
        }
        if (failure.empty() && simulation.switches() == switches) {
            failure = "no map switch in 10 s without faults";
        }
        return failure.empty() ? "" : "seed " + std::to_string(seed) + ": " + failure;
    }

    static std::string runSeeds(const GroupFaults &faults, std::uint64_t count)
    {
        for (std::uint64_t seed = 1; seed <= count; ++seed) {
            if (auto failure = runScenario(faults, seed); !failure.empty()) {
                return failure;
            }
        }
        return {};
    }

    static GroupFaults allFaults()
    {
        GroupFaults faults;
        faults.lostOrder = 0.1;
        faults.lostAnswer = 0.1;
        faults.lateOrder = 0.15;
        faults.coordinatorRestarts = 0.005;
        faults.rankRestarts = 0.0005;
        faults.agentUnreachable = 0.003;
        faults.agentRestarts = 0.003;
        faults.delayedReport = 0.2;
        faults.groupIdle = 0.002;
        return faults;
    }

public:
    void switchesWithoutFaults()
    {
        GroupSimulation simulation({}, 1);
        CPPUNIT_ASSERT_EQUAL(std::string(), simulation.run(30s, true));
        CPPUNIT_ASSERT(simulation.switches() >= 8);
        CPPUNIT_ASSERT(!simulation.isHeld());
    }

    void oneMapUnderEachFault()
    {
        for (const auto fault : {&GroupFaults::lostOrder,
                                 &GroupFaults::lostAnswer,
                                 &GroupFaults::lateOrder,
                                 &GroupFaults::coordinatorRestarts,
                                 &GroupFaults::rankRestarts,
                                 &GroupFaults::agentUnreachable,
                                 &GroupFaults::agentRestarts,
                                 &GroupFaults::delayedReport,
                                 &GroupFaults::groupIdle}) {
            GroupFaults faults;
            faults.*fault = allFaults().*fault * 2;
            CPPUNIT_ASSERT_EQUAL(std::string(), runSeeds(faults, 20));
        }
    }

    void oneMapUnderAllFaults()
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), runSeeds(allFaults(), 150));
    }

    /** The test must detect different maps in one pass if ranks are armed while no hold is active. */
    void detectsArmingWithoutHold()
    {
        auto faults = allFaults();
        faults.ignoresHolds = true;
        CPPUNIT_ASSERT(runSeeds(faults, 20).find("two maps") != std::string::npos);
    }

    /** The test must detect different maps in one pass if the hold is released before all ranks are armed. */
    void detectsReleaseBeforeArming()
    {
        auto faults = allFaults();
        faults.confirmsLostArmOrders = true;
        CPPUNIT_ASSERT(runSeeds(faults, 50).find("two maps") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MapSwitchFuzz);
