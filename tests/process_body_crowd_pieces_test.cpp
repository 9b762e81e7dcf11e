#include "body_crowd_fixture.h"

/** Guards against callers that send large bodies piece by piece and stop short of the end: no single piece is large. */
class BodyCrowdPiecesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyCrowdPiecesTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        BodyCrowd crowd;
        constexpr std::size_t pieceBytes = 50'000;
        crowd.sendAll(BodyCrowd::headWithLength(BodyCrowd::maxBodyBytes));
        for (std::size_t sent = pieceBytes; sent < BodyCrowd::maxBodyBytes; sent += pieceBytes) {
            crowd.sendAll(std::string(pieceBytes, 'x'));
        }
        crowd.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyCrowdPiecesTest);
