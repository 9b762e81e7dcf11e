#include "untrusted_callers_fixture.h"

/** Guards against callers that send large bodies piece by piece and stop short of the end: no single piece is large. */
class BodyPiecesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyPiecesTest);
    CPPUNIT_TEST(memoryIsBoundedAndCallersAreAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void memoryIsBoundedAndCallersAreAnswered()
    {
        UntrustedCallers callers;
        constexpr std::size_t pieceBytes = 50'000;
        callers.sendAll(UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes));
        for (std::size_t sent = pieceBytes; sent < UntrustedCallers::maxBodyBytes; sent += pieceBytes) {
            callers.sendAll(std::string(pieceBytes, 'x'));
        }
        callers.expectSound();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyPiecesTest);
