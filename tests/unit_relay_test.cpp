#include "token_relay.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

/** Guards the relay: the caller gets each token once and in order, whatever the attempts send. */
class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(splitEventsAreJoined);
    CPPUNIT_TEST(repeatedOffsetIsDropped);
    CPPUNIT_TEST(gapEndsAttempt);
    CPPUNIT_TEST(finalEventIsHeldBack);
    CPPUNIT_TEST(longEventIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void splitEventsAreJoined()
    {
        TokenRelay relay;
        CPPUNIT_ASSERT_EQUAL(std::string(), relay.feed("id: 0\nda"));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: a\n\n"), relay.feed("ta: a\n\nid: 1\n"));
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: b\n\n"), relay.feed("data: b\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), relay.nextOffset());
    }

    void repeatedOffsetIsDropped()
    {
        TokenRelay relay;
        relay.feed("id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
        relay.beginAttempt();
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: c\n\n"), relay.feed("id: 1\ndata: b\n\nid: 2\ndata: c\n\n"));
    }

    void gapEndsAttempt()
    {
        TokenRelay relay;
        CPPUNIT_ASSERT_EQUAL(std::string("id: 0\ndata: a\n\n"),
                             relay.feed("id: 0\ndata: a\n\nid: 2\ndata: c\n\nid: 1\ndata: b\n\n"));
        CPPUNIT_ASSERT(relay.state() == RelayState::Gap);
        CPPUNIT_ASSERT_EQUAL(std::string(), relay.feed("id: 1\ndata: b\n\n"));
    }

    void finalEventIsHeldBack()
    {
        TokenRelay relay;
        CPPUNIT_ASSERT_EQUAL(std::string(), relay.feed("data: [DONE]\n\n"));
        CPPUNIT_ASSERT(relay.state() == RelayState::Finished);
    }

    void longEventIsRefused()
    {
        TokenRelay relay;
        relay.feed(std::string(300'000, 'x'));
        CPPUNIT_ASSERT(relay.state() == RelayState::TooLong);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
