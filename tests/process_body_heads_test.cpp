#include "untrusted_callers_fixture.h"

/** Guards against heads with thousands of short fields that never end: a field takes far more memory than its bytes. */
class BodyHeadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyHeadsTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        std::string head = "GET /u/x HTTP/1.1\r\n";
        while (head.size() < 16'000) {
            head += "a:\r\n";
        }
        callers.sendAll(head);
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyHeadsTest);
