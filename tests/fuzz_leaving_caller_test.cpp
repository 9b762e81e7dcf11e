#include "leaving_caller_fixture.h"

using namespace turmericline;

/**
 * Guards the users' limit on a request that crashes servers, if its callers leave, and sound requests whose callers leave
 * as well; see LeavingCallerFixture.
 */
class LeavingCallerFuzzTest : public LeavingCallerFixture
{
    CPPUNIT_TEST_SUITE(LeavingCallerFuzzTest);
    CPPUNIT_TEST(lateArrivalsAreBoundedAndSoundRequestsPass);
    CPPUNIT_TEST(largeFleetKeepsTheLimit);
    CPPUNIT_TEST(withoutAbandonedRequestsMoreServersEnd);
    CPPUNIT_TEST(withoutSharedReportsMoreServersEnd);
    CPPUNIT_TEST(withoutSurvivedRequestsSoundOnesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void lateArrivalsAreBoundedAndSoundRequestsPass()
    {
        for (const std::size_t gateways : {3, 9}) {
            const auto totals = play({.gateways = gateways}, seedCount());
            CPPUNIT_ASSERT(totals.mostLate <= LeavingCallerSimulation::maxLateArrivals);
            CPPUNIT_ASSERT(areServed(totals));
        }
    }

    void largeFleetKeepsTheLimit()
    {
        const auto totals = play({.gateways = 149}, largeSeedCount());
        CPPUNIT_ASSERT(totals.mostLate <= LeavingCallerSimulation::maxLateArrivals);
    }

    void withoutAbandonedRequestsMoreServersEnd()
    {
        const auto totals = play({.areAbandonedRecorded = false}, 2);
        CPPUNIT_ASSERT(totals.mostLate > LeavingCallerSimulation::maxLateArrivals);
    }

    void withoutSharedReportsMoreServersEnd()
    {
        const auto totals = play({.areReportsShared = false}, 2);
        CPPUNIT_ASSERT(totals.mostLate > LeavingCallerSimulation::maxLateArrivals);
    }

    void withoutSurvivedRequestsSoundOnesAreRefused()
    {
        auto scenario = otherEnds();
        scenario.areSurvivedRecorded = false;
        const auto totals = play(scenario, 2);
        CPPUNIT_ASSERT(!areServed(totals));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingCallerFuzzTest);
