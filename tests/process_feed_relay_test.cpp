#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"
#include "reserved_port.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <map>
#include <memory>
#include <vector>

using namespace turmericline;

/**
 * Guards gateways that follow another one of their failure domain: against facts that do not arrive by it, and against a
 * reader that is suspended while others rely on it.
 */
class FeedRelayProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedRelayProcessTest);
    CPPUNIT_TEST(oneGatewayReadsForAll);
    CPPUNIT_TEST(suspendedReaderIsReplaced);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t gatewayCount = 7;
    /** Watches of the one gateway that reads: of the configuration and of the servers. */
    static constexpr std::size_t watchesOfOne = 2;

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::unique_ptr<fakes::FakeReplica> m_server;
    std::vector<std::unique_ptr<ReservedPort>> m_ports;
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;

    void putConfig(int version, const std::string &key)
    {
        m_store->put("op/config",
                     fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"h","prefix":"/a/","kind":"safe",)"
                                 R"("timeout_ms":20000,"target_latency_ms":5000,"service":"s","max_attempts":2}}],)"
                                 R"("services":[{{"name":"s"}}],"tenants":[{{"name":"t","api_keys":["{}"]}}]}})",
                                 version,
                                 key));
    }

    void announce(const std::string &id, const std::string &state)
    {
        m_store->put(
            "servers/" + id,
            fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","slots":8,"state":"{}","born":1}})",
                        m_server->port(),
                        state));
    }

    int call(std::size_t i, const std::string &key)
    {
        RawCaller caller(m_io, m_gateways[i]->process().port());
        caller.send("GET /a/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r\r\nApi-Key: " + key + "\r\n\r\n");
        return caller.answer().status;
    }

    /** Address of the gateway that gateway @p i follows; empty if it reads the store itself. */
    std::string followedBy(std::size_t i)
    {
        const auto text = m_gateways[i]->get("/status").body;
        return nlohmann::json::parse(text).at("follows").get<std::string>();
    }

    /** Waits until all gateways but one follow that one, and returns it. */
    std::size_t waitForReader()
    {
        while (true) {
            std::map<std::string, std::size_t> followers;
            for (std::size_t i = 0; i < gatewayCount; ++i) {
                ++followers[followedBy(i)];
            }
            for (std::size_t i = 0; i < gatewayCount; ++i) {
                if (followers[m_ports[i]->address()] == gatewayCount - 1 && m_store->watchCount() <= watchesOfOne) {
                    return i;
                }
            }
        }
    }

public:
    void setUp() override
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_server = std::make_unique<fakes::FakeReplica>(m_io);
        putConfig(1, "k1");
        announce("i-1", "ready");
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            m_ports.push_back(std::make_unique<ReservedPort>(m_io));
        }
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            std::vector<std::string> arguments{"--peer=" + m_ports[i]->address()};
            for (std::size_t n = 0; n < std::min<std::size_t>(i, 3); ++n) {
                arguments.push_back("--seeds=" + m_ports[n]->address());
            }
            m_gateways.push_back(std::make_unique<GatewayProcess>(m_io, m_store->port(), arguments));
        }
    }

    void tearDown() override
    {
        m_gateways.clear();
        m_ports.clear();
        m_server.reset();
        m_store.reset();
    }

    void oneGatewayReadsForAll()
    {
        waitForReader();
        // A new configuration, with another key, is in force at all of them.
        putConfig(2, "k2");
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            while (call(i, "k2") != 200) {
            }
            CPPUNIT_ASSERT_EQUAL(401, call(i, "k1"));
        }
        // So is the state of a server, which only its reader has read.
        announce("i-1", "draining");
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            while (call(i, "k2") != 503) {
            }
        }
    }

    void suspendedReaderIsReplaced()
    {
        const auto reader = waitForReader();
        m_gateways[reader]->process().signal(SIGSTOP);
        announce("i-1", "draining");
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            while (i != reader && call(i, "k1") != 503) {
            }
        }
        putConfig(2, "k2");
        announce("i-2", "ready");
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            while (i != reader && call(i, "k2") != 200) {
            }
        }
        m_gateways[reader]->process().signal(SIGCONT);
        while (call(reader, "k2") != 200) {
        }
        CPPUNIT_ASSERT_EQUAL(401, call(reader, "k1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedRelayProcessTest);
