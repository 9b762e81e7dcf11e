#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>

using namespace turmericline;
using fakes::FakeReplica;

/** Tests the gateway as a process: forwarding, refusals, loss of the store, graceful shutdown and invalid settings. */
class GatewayProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayProcessTest);
    CPPUNIT_TEST(forwardsRequestWithoutApiKey);
    CPPUNIT_TEST(streamsEvents);
    CPPUNIT_TEST(rejectsUnknownRoutesAndKeys);
    CPPUNIT_TEST(removedKeyIsRejected);
    CPPUNIT_TEST(serverRefusalIsReportedAsNotRun);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(lostStoreStopsAcceptanceOfKeys);
    CPPUNIT_TEST(drainCompletesRequestInFlight);
    CPPUNIT_TEST(rejectsInvalidSettings);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;
    std::unique_ptr<fakes::FakeStore> m_store;
    std::unique_ptr<FakeReplica> m_replica;
    std::unique_ptr<GatewayProcess> m_gateway;

    static std::string config(int version, const std::string &key)
    {
        const auto route = [](const std::string &prefix, const std::string &kind) {
            return R"({"name":")" + kind + R"(","host":"h","prefix":")" + prefix + R"(","kind":")" + kind
                   + R"(","timeout_ms":60000,"target_latency_ms":20000,"service":"s","max_attempts":2})";
        };
        return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("/u/", "unsafe") + ","
               + route("/e/", "stream") + R"(],"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":[")" + key
               + R"("]}]})";
    }

    static std::string request(const std::string &path, const std::string &key)
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nApi-Key: " + key
               + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    void start(const std::vector<std::string> &more = {})
    {
        m_store = std::make_unique<fakes::FakeStore>(m_io);
        m_replica = std::make_unique<FakeReplica>(m_io);
        m_store->put("op/config", config(1, "k1"));
        m_store->put("servers/i-1",
                     R"({"service":"s","address":"127.0.0.1:)" + std::to_string(m_replica->port())
                         + R"(","zone":"d","state":"ready"})");
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store->port(), more);
    }

    RawAnswer call(const std::string &message)
    {
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(message);
        return caller.answer();
    }

public:
    void tearDown() override
    {
        m_gateway.reset();
        m_replica.reset();
        m_store.reset();
        m_io.restart();
        m_io.poll();
    }

    void forwardsRequestWithoutApiKey()
    {
        start();
        const auto answer = call(request("/u/x", "k1"));
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("signed"), answer.header("Replica-Signature"));
        const auto &received = m_replica->received().front();
        CPPUNIT_ASSERT_EQUAL(std::string("/u/x"), received.path);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), received.body);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), received.headers.at("tenant"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), received.headers.at("expect-replica"));
        CPPUNIT_ASSERT(!received.headers.contains("api-key"));
    }

    void streamsEvents()
    {
        start();
        m_replica->setMode(FakeReplica::Mode::Stream);
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(request("/e/x", "k1"));
        CPPUNIT_ASSERT(caller.readUntil("id: 3\ndata: x\n\n\r\n0\r\n\r\n"));
    }

    void rejectsUnknownRoutesAndKeys()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(404, call(request("/none/", "k1")).status);
        CPPUNIT_ASSERT_EQUAL(401, call(request("/u/", "other")).status);
        CPPUNIT_ASSERT_EQUAL(400, call("nonsense\r\n\r\n").status);
        CPPUNIT_ASSERT(m_replica->received().empty());
    }

    void removedKeyIsRejected()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(200, call(request("/u/x", "k1")).status);
        m_store->put("op/config", config(2, "k2"));
        while (call(request("/u/x", "k2")).status != 200) {
        }
        CPPUNIT_ASSERT_EQUAL(401, call(request("/u/x", "k1")).status);
        // An older version must not replace a newer one.
        m_store->put("op/config", config(1, "k1"));
        m_store->put("op/config", config(3, "k3"));
        while (call(request("/u/x", "k3")).status != 200) {
        }
        CPPUNIT_ASSERT_EQUAL(401, call(request("/u/x", "k1")).status);
    }

    void serverRefusalIsReportedAsNotRun()
    {
        start();
        m_replica->setMode(FakeReplica::Mode::Refuse);
        const auto answer = call(request("/u/x", "k1"));
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
    }

    void pipelinedRequestsAreAnsweredInOrder()
    {
        start();
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(request("/u/1", "k1") + request("/none/", "k1") + request("/u/2", "k1"));
        CPPUNIT_ASSERT_EQUAL(200, caller.answer().status);
        CPPUNIT_ASSERT_EQUAL(404, caller.answer().status);
        CPPUNIT_ASSERT_EQUAL(200, caller.answer().status);
        CPPUNIT_ASSERT_EQUAL(std::string("/u/2"), m_replica->received().back().path);
    }

    /**
     * Without the store, the gateway cannot know whether a key was added or removed. After the revocation bound it must
     * neither accept keys nor reject them as unknown (401); it answers 503 and fails its readiness check.
     */
    void lostStoreStopsAcceptanceOfKeys()
    {
        start({"--revoke-bound-ms=3000"});
        m_store->setOutage(fakes::StoreOutage::Silent);
        while (call(request("/u/x", "k1")).status == 200) {
        }
        const auto answer = call(request("/u/x", "k1"));
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), answer.header("Connection"));
        CPPUNIT_ASSERT_EQUAL(503, m_gateway->readiness());
        m_store->setOutage(fakes::StoreOutage::None);
        while (call(request("/u/x", "k1")).status != 200) {
        }
    }

    void drainCompletesRequestInFlight()
    {
        start({"--rotation-ms=50", "--grace-ms=60000"});
        m_replica->setMode(FakeReplica::Mode::Silent);
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send(request("/u/x", "k1"));
        while (m_replica->received().empty()) {
            m_io.run_one();
        }
        m_gateway->process().signal(SIGTERM);
        while (m_gateway->readiness() == 200) {
        }
        // The server closes the connection without a response, so the request may have run.
        m_replica.reset();
        const auto answer = caller.answer();
        CPPUNIT_ASSERT_EQUAL(502, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), answer.header("Connection"));
        caller.close();
        CPPUNIT_ASSERT_EQUAL(0, m_gateway->process().waitForExit());
    }

    void rejectsInvalidSettings()
    {
        ChildProcess gateway(
            m_io, "turmericline-gateway", std::vector<std::string>{"--name=g", "--listen=nowhere", "--odd=1"});
        CPPUNIT_ASSERT_EQUAL(2, gateway.waitForExit());
        for (const char *name : {"domain", "listen", "odd", "store"}) {
            CPPUNIT_ASSERT(gateway.errors().find(name) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayProcessTest);
