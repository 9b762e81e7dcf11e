#include "untrusted_callers_fixture.h"

/** Guards against limits that turn away a single request within the configured limits. */
class BodyLimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyLimitsTest);
    CPPUNIT_TEST(largestBodyIsServedAlone);
    CPPUNIT_TEST(largestBodyIsServedAfterOthersHaveLeft);
    CPPUNIT_TEST(callerIsToldOnceToContinue);
    CPPUNIT_TEST_SUITE_END();

    static std::string largest()
    {
        return UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes)
               + std::string(UntrustedCallers::maxBodyBytes, 'x');
    }

public:
    void largestBodyIsServedAlone()
    {
        UntrustedCallers callers;
        CPPUNIT_ASSERT_EQUAL(200, callers.call(largest()).status);
        const auto chunks
            = UntrustedCallers::headWithChunks() + UntrustedCallers::chunks(UntrustedCallers::maxBodyBytes, 1'000);
        CPPUNIT_ASSERT_EQUAL(200, callers.call(chunks + "0\r\n\r\n").status);
    }

    void largestBodyIsServedAfterOthersHaveLeft()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes) + std::string(500'000, 'x'));
        callers.closeCallers();
        // The gateway learns of the closed connections while it answers.
        callers.expectSound();
        CPPUNIT_ASSERT_EQUAL(200, callers.call(largest()).status);
    }
    /** An answer to each piece of a body would let a caller that reads nothing fill the memory. */
    void callerIsToldOnceToContinue()
    {
        UntrustedCallers callers;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, callers.continuesFor(20));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyLimitsTest);
