#include "body_crowd_fixture.h"

/** Guards against bodies far over the limit that are announced: they are refused before they are read. */
class BodyCrowdAnnouncedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdAnnouncedTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithLength(100 * BodyCrowd::maxBodyBytes)
                      + std::string(BodyCrowd::maxBodyBytes, 'x'));
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdAnnouncedTest);
