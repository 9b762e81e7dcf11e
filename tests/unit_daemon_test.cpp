#include "daemon.h"

#include <asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

using namespace turmericline;

/** Guards against a process that ends because of one message that a handler cannot cope with. */
class DaemonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DaemonTest);
    CPPUNIT_TEST(errorInAHandlerDoesNotEndTheProcess);
    CPPUNIT_TEST(processThatKeepsFailingEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    void errorInAHandlerDoesNotEndTheProcess()
    {
        asio::io_context io;
        int handled = 0;
        for (int n = 0; n < 6; ++n) {
            asio::post(io, [&handled, n] {
                if (n % 2 == 0) {
                    throw std::out_of_range("a message that nobody foresaw");
                }
                ++handled;
            });
        }
        CPPUNIT_ASSERT_EQUAL(ExitOk, runHandlers(io));
        CPPUNIT_ASSERT_EQUAL(3, handled);
    }

    void processThatKeepsFailingEnds()
    {
        asio::io_context io;
        std::function<void()> failAgain = [&] {
            asio::post(io, failAgain);
            throw std::runtime_error("always");
        };
        asio::post(io, failAgain);
        CPPUNIT_ASSERT_EQUAL(ExitFailure, runHandlers(io));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);
