#include "fleet.h"
#include "h2_client.h"
#include "wire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>

using namespace turmericline;
using nlohmann::json;

/** Guards I4: a backend server never has two agents, and agents obey no process without a valid peer key. */
class SecondAgentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SecondAgentTest);
    CPPUNIT_TEST(onlyOneAgentPerServer);
    CPPUNIT_TEST(rejectsRequestsWithWrongKey);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;

public:
    void setUp() override
    {
        m_fleet = std::make_unique<Fleet>();
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    void expectRefused()
    {
        CPPUNIT_ASSERT(!m_fleet->tryStart("second", m_fleet->command("agent-s1")));
        CPPUNIT_ASSERT_EQUAL(1, m_fleet->waitExit("second"));
        const auto log = m_fleet->log("second");
        CPPUNIT_ASSERT_MESSAGE(log, log.find("another process holds") != std::string::npos);
    }

    void onlyOneAgentPerServer()
    {
        expectRefused();
        m_fleet->signal("agent-s1", SIGSTOP);
        expectRefused();
        m_fleet->signal("agent-s1", SIGCONT);
        CPPUNIT_ASSERT(m_fleet->isReady("agent-s1"));
        // Killing a suspended agent releases its name as well.
        m_fleet->signal("agent-s1", SIGSTOP);
        m_fleet->kill("agent-s1");
        CPPUNIT_ASSERT(m_fleet->tryStart("second", m_fleet->command("agent-s1")));
        m_fleet->waitUntil([this] {
            return m_fleet->isReady("second");
        });
    }

    std::string ticket()
    {
        const auto answer = m_fleet->callEntry("entry-1", "/v1/tickets", {{"service", "controller"}});
        m_fleet->waitDone({answer});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, 200, answer->status);
        return json::parse(answer->body).at("ticket").get<std::string>();
    }

    /** Sends a request to an agent as an entry with this key would; returns true if it was answered. */
    bool isAnswered(const std::string &key, const std::string &agent, H2Request request)
    {
        PeerTls tls({*parsePeerKey(key).value});
        H2Client client(m_fleet->io(), tls, fmt::format("127.0.0.1:{}", m_fleet->port(agent)));
        bool answered = false;
        bool done = false;
        client.start(std::move(request),
                     {[&answered](int, const HttpHeaders &) {
                          answered = true;
                      },
                      {},
                      [&done](const H2Result &) {
                          done = true;
                      }});
        m_fleet->waitUntil([&done] {
            return done;
        });
        return answered;
    }

    static H2Request runRequest(const std::string &ticket)
    {
        return {"POST",
                "/run",
                {{std::string(wire::request), "r1"},
                 {std::string(wire::workspace), "lab"},
                 {std::string(wire::requestClass), "urgent"},
                 {std::string(wire::service), "controller"},
                 {std::string(wire::method), "POST"},
                 {std::string(wire::path), "/abort"},
                 {std::string(wire::budgetMs), "10000"},
                 {std::string(wire::idempotent), "0"},
                 {std::string(wire::key), ticket},
                 {std::string(wire::callerKey), ticket}},
                "{}"};
    }

    static H2Request sealRequest(const std::string &ticket)
    {
        return {"POST", "/seal", {{std::string(wire::workspace), "lab"}, {std::string(wire::key), ticket}}, ""};
    }

    std::string call(const std::string &ticket)
    {
        const auto answer = m_fleet->callEntry(
            "entry-1", "/services/controller/abort", json::object(), {{"Idempotency-Key", ticket}});
        m_fleet->waitDone({answer});
        return answer->header("X-Verdict");
    }

    /** Requests tickets until one names the server in @p domain, as entries spread tickets over the servers. */
    std::string ticketOf(const std::string &domain)
    {
        auto text = ticket();
        for (int i = 0; i < 100 && text.substr(text.find(".s") + 2, 1) != domain; ++i) {
            text = ticket();
        }
        return text;
    }

    void rejectsRequestsWithWrongKey()
    {
        const auto first = ticket();
        const auto domain = first.substr(first.find(".s") + 2, 1);
        const auto agent = "agent-s" + domain;
        const auto &right = m_fleet->peerKey();
        const auto name = right.substr(0, right.find(':'));
        for (const auto &wrong : {name + ":" + std::string(32, 'e'), "other" + right.substr(right.find(':'))}) {
            CPPUNIT_ASSERT(!isAnswered(wrong, agent, runRequest(first)));
            CPPUNIT_ASSERT(!isAnswered(wrong, agent, sealRequest(first)));
        }
        CPPUNIT_ASSERT(!m_fleet->getJson("service-" + domain, "/counts").contains(first));
        // The ticket was not sealed either: its call still runs.
        CPPUNIT_ASSERT_EQUAL(std::string("run"), call(first));
        // The same requests with the right key are carried out, so only the key was the reason for the refusal.
        const auto second = ticketOf(domain);
        CPPUNIT_ASSERT(isAnswered(right, agent, sealRequest(second)));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), call(second));
        const auto third = ticketOf(domain);
        CPPUNIT_ASSERT(isAnswered(right, agent, runRequest(third)));
        CPPUNIT_ASSERT(m_fleet->getJson("service-" + domain, "/counts").contains(third));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAgentTest);
