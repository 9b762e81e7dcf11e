#include "untrusted_callers_fixture.h"

/** Guards against bodies far over the limit that are announced: they are refused before they are read. */
class BodyAnnouncedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyAnnouncedTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithLength(100 * UntrustedCallers::maxBodyBytes)
                        + std::string(UntrustedCallers::maxBodyBytes, 'x'));
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyAnnouncedTest);
