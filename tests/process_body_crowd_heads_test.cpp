#include "body_crowd_fixture.h"

/** Guards against heads with thousands of short fields that never end: a field takes far more memory than its bytes. */
class BodyCrowdHeadsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdHeadsTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        std::string head = "GET /u/x HTTP/1.1\r\n";
        while (head.size() < 16'000) {
            head += "a:\r\n";
        }
        crowd.sendAll(head);
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdHeadsTest);
