#include "body_crowd_fixture.h"

/** Guards against callers that send large chunks and never the last one: no length announces what they will hold. */
class BodyCrowdChunksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdChunksTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithChunks() + BodyCrowd::chunks(BodyCrowd::maxBodyBytes - 10, 100'000));
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdChunksTest);
