#include "leaving_caller_fixture.h"

using namespace turmericline;

/** Guards sound requests whose callers leave, in a large fleet, and where servers end all the time for other reasons. */
class LeavingCallerSoundFuzzTest : public LeavingCallerFixture
{
    CPPUNIT_TEST_SUITE(LeavingCallerSoundFuzzTest);
    CPPUNIT_TEST(soundRequestsPassInALargeFleet);
    CPPUNIT_TEST(otherEndsAccuseNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundRequestsPassInALargeFleet()
    {
        CPPUNIT_ASSERT(areServed(play({.gateways = 149}, largeSeedCount())));
    }

    void otherEndsAccuseNothing()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, play(otherEnds(), seedCount()).soundRefusals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingCallerSoundFuzzTest);
