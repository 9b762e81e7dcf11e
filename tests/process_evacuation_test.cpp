#include "fake_platform.h"
#include "fake_store.h"
#include "gateway_process.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace turmericline;
using fakes::FakeReplica;

/** Guards against gateways that send requests to an evacuated failure domain: as it begins, after a restart, and at its end. */
class EvacuationProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationProcessTest);
    CPPUNIT_TEST(evacuationIsKeptAndEnds);
    CPPUNIT_TEST(restartedGatewayKnowsTheEvacuation);
    CPPUNIT_TEST(allDomainsEvacuatedMeansRefusal);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context m_io;
    fakes::FakeStore m_store{m_io};
    FakeReplica m_near{m_io};
    FakeReplica m_far{m_io};
    std::unique_ptr<GatewayProcess> m_gateway;

    void announce(const std::string &id, const FakeReplica &replica, const std::string &domain)
    {
        m_store.put("servers/" + id,
                    R"({"service":"s","address":"127.0.0.1:)" + std::to_string(replica.port()) + R"(","zone":")"
                        + domain + R"(","state":"ready"})");
    }

    void start()
    {
        m_gateway = std::make_unique<GatewayProcess>(m_io, m_store.port(), std::vector<std::string>{});
    }

    int call()
    {
        RawCaller caller(m_io, m_gateway->process().port());
        caller.send("POST /u/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nContent-Length: 4\r\n\r\nbody");
        return caller.answer().status;
    }

    /** Waits until the gateway states so many evacuated failure domains. */
    void waitForEvacuated(std::size_t count)
    {
        while (nlohmann::json::parse(m_gateway->get("/status").body).at("evacuated_domains").size() != count) {
        }
    }

public:
    void setUp() override
    {
        m_store.put("op/config",
                    R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/u/","kind":"unsafe","timeout_ms":9000,)"
                    R"("target_latency_ms":900,"service":"s","allow_anonymous":true}],"services":[{"name":"s"}],)"
                    R"("tenants":[]})");
        announce("i-near", m_near, "d");
        announce("i-far", m_far, "e");
    }

    void evacuationIsKeptAndEnds()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(200, call());
        const auto before = m_near.received().size();
        CPPUNIT_ASSERT(before > 0);
        m_store.put("op/evacuate/d", "{}");
        waitForEvacuated(1);
        for (int n = 0; n < 10; ++n) {
            CPPUNIT_ASSERT_EQUAL(200, call());
        }
        CPPUNIT_ASSERT_EQUAL(before, m_near.received().size());
        m_store.remove("op/evacuate/d");
        waitForEvacuated(0);
        CPPUNIT_ASSERT_EQUAL(200, call());
        CPPUNIT_ASSERT_EQUAL(before + 1, m_near.received().size());
    }

    void restartedGatewayKnowsTheEvacuation()
    {
        m_store.put("op/evacuate/d", "{}");
        start();
        CPPUNIT_ASSERT_EQUAL(200, call());
        CPPUNIT_ASSERT(m_near.received().empty());
    }

    void allDomainsEvacuatedMeansRefusal()
    {
        m_store.put("op/evacuate/d", "{}");
        m_store.put("op/evacuate/e", "{}");
        start();
        CPPUNIT_ASSERT_EQUAL(503, call());
        CPPUNIT_ASSERT(m_near.received().empty() && m_far.received().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationProcessTest);
