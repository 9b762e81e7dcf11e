#include "fleet.h"

#include <asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

/** Guards the fleet of the process tests against losing the port of a stopped process to another program. */
class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(portOfStoppedProcessIsReserved);
    CPPUNIT_TEST_SUITE_END();

public:
    void portOfStoppedProcessIsReserved()
    {
        Fleet fleet;
        for (const char *field : {"port", "ops_port", "peer_port"}) {
            const auto port = fleet.port("entry-1", field);
            fleet.kill("entry-1");
            asio::ip::tcp::socket other(fleet.io(), asio::ip::tcp::v4());
            asio::error_code ec;
            other.bind({asio::ip::address_v4::loopback(), port}, ec);
            CPPUNIT_ASSERT(ec == asio::error::address_in_use);
            fleet.start("entry-1");
            CPPUNIT_ASSERT_EQUAL(port, fleet.port("entry-1", field));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
