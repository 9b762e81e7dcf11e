#include "untrusted_callers_fixture.h"

/** Guards against callers that send large chunks and never the last one: no length announces what they will hold. */
class BodyChunksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyChunksTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks()
                        + UntrustedCallers::chunks(UntrustedCallers::maxBodyBytes - 10, 100'000));
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyChunksTest);
