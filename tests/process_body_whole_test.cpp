#include "untrusted_callers_fixture.h"

/** Guards against callers that send large bodies at once and stop short of the end: they ended the process by its memory. */
class BodyWholeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyWholeTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes)
                        + std::string(UntrustedCallers::maxBodyBytes - 10, 'x'));
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyWholeTest);
