#include "body_crowd_fixture.h"

/** Guards against callers that send chunks of one byte and never the last one: the framing must not cost memory. */
class BodyCrowdTinyChunksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdTinyChunksTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithChunks() + BodyCrowd::chunks(800'000, 1));
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdTinyChunksTest);
