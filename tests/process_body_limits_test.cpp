#include "body_crowd_fixture.h"

/** Guards against limits that turn away a single request within the configured limits, and against unbounded crowds. */
class BodyLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyLimitsTest);
    CPPUNIT_TEST(largestBodyIsServedWithoutACrowd);
    CPPUNIT_TEST(largestBodyIsServedAfterTheCrowdHasLeft);
    CPPUNIT_TEST_SUITE_END();

    static std::string largest()
    {
        return BodyCrowd::headWithLength(BodyCrowd::maxBodyBytes) + std::string(BodyCrowd::maxBodyBytes, 'x');
    }

public:
    void largestBodyIsServedWithoutACrowd()
    {
        BodyCrowd crowd;
        CPPUNIT_ASSERT_EQUAL(200, crowd.call(largest()).status);
        const auto chunks = BodyCrowd::headWithChunks() + BodyCrowd::chunks(BodyCrowd::maxBodyBytes, 1'000);
        CPPUNIT_ASSERT_EQUAL(200, crowd.call(chunks + "0\r\n\r\n").status);
    }

    void largestBodyIsServedAfterTheCrowdHasLeft()
    {
        BodyCrowd crowd;
        crowd.sendAll(BodyCrowd::headWithLength(BodyCrowd::maxBodyBytes) + std::string(500'000, 'x'));
        crowd.closeCallers();
        // The gateway learns of the closed connections while it answers.
        crowd.expectSound();
        CPPUNIT_ASSERT_EQUAL(200, crowd.call(largest()).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyLimitsTest);
