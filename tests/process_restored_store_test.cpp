#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace turmericline;
using fakes::FakeReplica;

/**
 * Guards against requests to a server that has left, after the store has come back from a copy in which it is ready. Each
 * case lets the gateway learn that server "a" leaves or is gone, or lets the store lose that, and restores the store.
 */
class RestoredStoreProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoredStoreProcessTest);
    CPPUNIT_TEST(leaveIsKeptOverRestore);
    CPPUNIT_TEST(removedServerStaysRemovedOverRestore);
    CPPUNIT_TEST(leaveWrittenAgainBelowKnownRevisionIsSeen);
    CPPUNIT_TEST(leaveWrittenAgainAfterOutageIsSeen);
    CPPUNIT_TEST(shortOutageWithRestoreStopsNoKeyedRequests);
    CPPUNIT_TEST_SUITE_END();

    /** Enough to send some to each server that the gateway uses. */
    static constexpr int callCount = 40;

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::map<std::string, std::unique_ptr<FakeReplica>> m_servers;
    std::unique_ptr<GatewayProcess> m_gateway;
    int m_callCount = 0;

    void start()
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_store->put("op/config",
                     R"({"version":1,"routes":[{"name":"u","host":"h","prefix":"/u/","kind":"unsafe",)"
                     R"("timeout_ms":60000,"target_latency_ms":20000,"service":"s","max_attempts":1}],)"
                     R"("services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["k"]}]})");
        announce("a");
        announce("b");
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store->port(), std::vector<std::string>{});
        waitUntilUsed("b");
    }

    void announce(const std::string &id, const std::string &state = "ready")
    {
        auto &server = m_servers[id];
        if (!server) {
            server = std::make_unique<FakeReplica>(m_io);
        }
        m_store->put("servers/" + id,
                     R"({"service":"s","zone":"d","born":1,"address":"127.0.0.1:)" + std::to_string(server->port())
                         + R"(","state":")" + state + "\"}");
    }

    int call()
    {
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send("POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a" + std::to_string(++m_callCount)
                    + "\r\nApi-Key: k\r\nContent-Length: 0\r\n\r\n");
        return caller.answer().status;
    }

    std::size_t received(const std::string &id) const
    {
        return m_servers.at(id)->received().size();
    }

    void waitUntilUsed(const std::string &id)
    {
        for (const auto n = received(id); received(id) == n;) {
            call();
        }
    }

    void waitUntilRefused()
    {
        while (call() != 503) {
        }
    }

    void expectUnused(const std::string &id)
    {
        const auto n = received(id);
        for (int i = 0; i < callCount; ++i) {
            call();
        }
        CPPUNIT_ASSERT_EQUAL(n, received(id));
    }

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_servers.clear();
        m_store.reset();
        m_io.restart();
        m_io.poll();
    }

    void leaveIsKeptOverRestore()
    {
        start();
        const auto copy = m_store->state();
        announce("b", "draining");
        announce("a", "draining");
        waitUntilRefused();
        m_store->restore(copy, false);
        announce("c");
        waitUntilUsed("c");
        expectUnused("a");
    }

    void removedServerStaysRemovedOverRestore()
    {
        start();
        const auto copy = m_store->state();
        m_store->remove("servers/b");
        m_store->remove("servers/a");
        waitUntilRefused();
        m_store->restore(copy, false);
        announce("c");
        waitUntilUsed("c");
        expectUnused("a");
    }

    /** The gateway's next watch finds a store that has counted past the revision that the watch begins at. */
    void leaveWrittenAgainBelowKnownRevisionIsSeen()
    {
        start();
        const auto copy = m_store->state();
        for (int i = 0; i < 10; ++i) {
            m_store->put("other/x", std::to_string(i));
        }
        while (!m_store->hasWatch("servers/")) {
            m_io.run_one();
        }
        announce("b", "draining"); // Answers the watch at the current revision.
        m_store->restore(copy, true);
        announce("a", "draining");
        for (int i = 0; i < 20; ++i) {
            m_store->put("other/x", std::to_string(i));
        }
        announce("c");
        waitUntilUsed("c");
        expectUnused("a");
    }

    /** The gateway does not know the leave, and the store is away while it loses it. */
    void leaveWrittenAgainAfterOutageIsSeen()
    {
        start();
        const auto copy = m_store->state();
        m_store->setOutage(fakes::StoreOutage::Reset);
        announce("a", "draining");
        m_store->restore(copy, false);
        m_store->setOutage(fakes::StoreOutage::None);
        announce("c");
        waitUntilUsed("c");
        announce("a", "draining");
        announce("e");
        waitUntilUsed("e");
        expectUnused("a");
    }

    void shortOutageWithRestoreStopsNoKeyedRequests()
    {
        start();
        const auto copy = m_store->state();
        m_store->setOutage(fakes::StoreOutage::Unavailable);
        CPPUNIT_ASSERT_EQUAL(200, call());
        m_store->restore(copy, false);
        m_store->setOutage(fakes::StoreOutage::None);
        announce("c");
        for (const auto n = received("c"); received("c") == n;) {
            CPPUNIT_ASSERT_EQUAL(200, call());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreProcessTest);
