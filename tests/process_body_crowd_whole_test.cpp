#include "body_crowd_fixture.h"

/** Guards against callers that send large bodies at once and stop short of the end: they ended the process by its memory. */
class BodyCrowdWholeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdWholeTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithLength(BodyCrowd::maxBodyBytes)
                      + std::string(BodyCrowd::maxBodyBytes - 10, 'x'));
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdWholeTest);
