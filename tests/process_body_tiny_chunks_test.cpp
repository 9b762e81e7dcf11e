#include "untrusted_callers_fixture.h"

/** Guards against callers that send chunks of one byte and never the last one: the framing must not cost memory. */
class BodyTinyChunksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyTinyChunksTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks() + UntrustedCallers::chunks(800'000, 1));
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyTinyChunksTest);
