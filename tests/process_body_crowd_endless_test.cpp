#include "body_crowd_fixture.h"

/** Guards against bodies far over the limit that are just sent: what was read of them must not stay in memory. */
class BodyCrowdEndlessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdEndlessTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithChunks() + BodyCrowd::chunks(5 * BodyCrowd::maxBodyBytes, 100'000));
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdEndlessTest);
