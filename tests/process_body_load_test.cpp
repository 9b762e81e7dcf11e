#include "untrusted_callers_fixture.h"

/**
 * Guards against callers that end a gateway by its memory: after each load the process lives, within its bounds, and
 * answers an ordinary request.
 */
class BodyLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BodyLoadTest);
    CPPUNIT_TEST(wholeBodies);
    CPPUNIT_TEST(bodiesInPieces);
    CPPUNIT_TEST(largeChunks);
    CPPUNIT_TEST(chunksOfOneByte);
    CPPUNIT_TEST(bodiesBeyondTheLimit);
    CPPUNIT_TEST(announcedBodiesBeyondTheLimit);
    CPPUNIT_TEST(headsOfShortFields);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Callers that send large bodies at once and stop short of the end: they ended the process by its memory. */
    void wholeBodies()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes)
                        + std::string(UntrustedCallers::maxBodyBytes - 10, 'x'));
        callers.expectSound();
    }

    /** Callers that send large bodies piece by piece and stop short of the end: no single piece is large. */
    void bodiesInPieces()
    {
        UntrustedCallers callers;
        constexpr std::size_t pieceBytes = 50'000;
        callers.sendAll(UntrustedCallers::headWithLength(UntrustedCallers::maxBodyBytes));
        for (std::size_t sent = pieceBytes; sent < UntrustedCallers::maxBodyBytes; sent += pieceBytes) {
            callers.sendAll(std::string(pieceBytes, 'x'));
        }
        callers.expectSound();
    }

    /** Callers that send large chunks and never the last one: no length announces what they will hold. */
    void largeChunks()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks()
                        + UntrustedCallers::chunks(UntrustedCallers::maxBodyBytes - 10, 100'000));
        callers.expectSound();
    }

    /** Callers that send chunks of one byte and never the last one: the framing must not cost memory. */
    void chunksOfOneByte()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks() + UntrustedCallers::chunks(800'000, 1));
        callers.expectSound();
    }

    /** Bodies far over the limit that are just sent: what was read of them must not stay in memory. */
    void bodiesBeyondTheLimit()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithChunks()
                        + UntrustedCallers::chunks(5 * UntrustedCallers::maxBodyBytes, 100'000));
        callers.expectSound();
    }

    /** Bodies far over the limit that are announced: they are refused before they are read. */
    void announcedBodiesBeyondTheLimit()
    {
        UntrustedCallers callers;
        callers.sendAll(UntrustedCallers::headWithLength(100 * UntrustedCallers::maxBodyBytes)
                        + std::string(UntrustedCallers::maxBodyBytes, 'x'));
        callers.expectSound();
    }

    /** Heads with thousands of short fields that never end: a field takes far more memory than its bytes. */
    void headsOfShortFields()
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

CPPUNIT_TEST_SUITE_REGISTRATION(BodyLoadTest);
