#include "untrusted_callers_fixture.h"

/** Guards against bodies far over the limit that are just sent: what was read of them must not stay in memory. */
class BodyEndlessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyEndlessTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks()
                        + UntrustedCallers::chunks(5 * UntrustedCallers::maxBodyBytes, 100'000));
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyEndlessTest);
