#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <iostream>

using nlohmann::json;

namespace {

/** Keeps the notice phase until the second SIGTERM, so that the tests do not depend on time limits. */
FleetOptions longDrainNotice()
{
    FleetOptions options;
    options.entryArguments = {"--drain-notice-ms", "600000", "--drain-deadline-ms", "3600000"};
    options.agentArguments = options.entryArguments;
    return options;
}

constexpr std::uint32_t longAnswer = 400;

std::string promptOf(std::size_t n)
{
    return fmt::format("Prompt number {}", n);
}

} // namespace

/** Guards I6: a graceful shutdown interrupts no request in flight, also if other processes fail at the same time. */
class ShutdownTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShutdownTest);
    CPPUNIT_TEST(entryFinishesItsStreams);
    CPPUNIT_TEST(agentFinishesItsStreams);
    CPPUNIT_TEST(agentFinishesItsKeyedCalls);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;
    std::vector<Fleet::Answer> m_streams;

public:
    void setUp() override
    {
        m_streams.clear();
    }

    void tearDown() override
    {
        if (m_fleet) {
            std::cout << fmt::format(
                "\nfigures: point=I6 operations={} faults={}\n", m_streams.size(), m_fleet->faultCount());
        }
        m_fleet.reset();
    }

    /** Starts @p count streams and waits until each has delivered a token. */
    void startStreams(const std::vector<std::string> &entries, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto n = m_streams.size();
            m_streams.push_back(
                m_fleet->stream(entries[n % entries.size()], promptOf(n), longAnswer, fmt::format("stream-{}", n)));
        }
        m_fleet->waitUntil([this] {
            return std::all_of(m_streams.begin(), m_streams.end(), [](const Fleet::Answer &it) {
                return it->body.find("\n\n") != std::string::npos || it->done;
            });
        });
    }

    void checkStreams()
    {
        m_fleet->waitDone(m_streams);
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            expectCompleteStream(m_streams[i], promptOf(i), longAnswer);
        }
    }

    /** Checks that no stream of the engine was interrupted and resumed on another one. */
    void expectNotResumed(const std::string &engine)
    {
        const auto here = m_fleet->getJson(engine, "/counts");
        CPPUNIT_ASSERT(!here.empty());
        for (const auto *other : {"engine-1", "engine-2", "engine-3"}) {
            const auto there = engine == other ? json::object() : m_fleet->getJson(other, "/counts");
            for (const auto &[user, count] : here.items()) {
                CPPUNIT_ASSERT_MESSAGE(user + " went on at " + other, !there.contains(user));
            }
        }
    }

    void terminate(const std::string &name)
    {
        m_fleet->signal(name, SIGTERM);
        m_fleet->waitUntil([&] {
            return !m_fleet->isReady(name);
        });
    }

    void entryFinishesItsStreams()
    {
        m_fleet = std::make_unique<Fleet>(longDrainNotice());
        startStreams({"entry-1"}, 12);
        terminate("entry-1");
        // A load balancer in front may not have noticed the shutdown yet, so new requests are still accepted.
        const auto late = m_fleet->stream("entry-1", "late", 5);
        m_fleet->waitDone({late});
        expectCompleteStream(late, "late", 5);
        m_fleet->kill("agent-m2");
        m_fleet->signal("entry-1", SIGTERM);
        m_fleet->waitUntil([this] {
            const auto refused = m_fleet->stream("entry-1", "refused", 1);
            m_fleet->waitDone({refused});
            return refused->status == 0;
        });
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->waitExit("entry-1"));
    }

    void agentFinishesItsStreams()
    {
        m_fleet = std::make_unique<Fleet>(longDrainNotice());
        startStreams({"entry-1", "entry-2"}, 18);
        CPPUNIT_ASSERT(m_fleet->status("agent-m1").at("running").get<int>() > 0);
        terminate("agent-m1");
        std::vector<Fleet::Answer> later;
        later.reserve(12);
        for (int i = 0; i < 12; ++i) {
            later.push_back(m_fleet->stream(Fleet::entries()[static_cast<std::size_t>(i) % 3], "later", 5, "later"));
        }
        m_fleet->waitDone(later);
        for (const auto &it : later) {
            expectCompleteStream(it, "later", 5);
        }
        CPPUNIT_ASSERT(!m_fleet->getJson("engine-1", "/counts").contains("later"));
        m_fleet->kill("entry-3");
        m_fleet->kill("agent-m2");
        m_fleet->signal("agent-m1", SIGTERM);
        checkStreams();
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->waitExit("agent-m1"));
        expectNotResumed("engine-1");
        const auto after = m_fleet->stream("entry-1", "after", 5);
        m_fleet->waitDone({after});
        expectCompleteStream(after, "after", 5);
    }

    /** A non-idempotent call in flight gets its answer; a later one is reported as not-run and has not run. */
    void agentFinishesItsKeyedCalls()
    {
        auto options = longDrainNotice();
        options.serviceArguments = {"--delay-ms", "1500"};
        m_fleet = std::make_unique<Fleet>(options);
        const auto ticket = [this] {
            const auto answer = m_fleet->callEntry("entry-1", "/v1/tickets", {{"service", "controller"}});
            m_fleet->waitDone({answer});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, 200, answer->status);
            return json::parse(answer->body).at("ticket").get<std::string>();
        };
        const auto first = ticket();
        const auto domainOf = [](const std::string &text) {
            return text.substr(text.find(".s") + 2, 1);
        };
        const auto domain = domainOf(first);
        // Entries spread tickets over the servers, so getting one of the same server may take several attempts.
        auto second = ticket();
        for (int i = 0; i < 100 && domainOf(second) != domain; ++i) {
            second = ticket();
        }
        CPPUNIT_ASSERT_EQUAL(domain, domainOf(second));
        const auto running
            = m_fleet->callEntry("entry-1", "/services/controller/abort", json::object(), {{"Idempotency-Key", first}});
        m_fleet->waitUntil([&] {
            return m_fleet->getJson("service-" + domain, "/counts").contains(first);
        });
        terminate("agent-s" + domain);
        const auto refused = m_fleet->callEntry(
            "entry-2", "/services/controller/abort", json::object(), {{"Idempotency-Key", second}});
        m_fleet->waitDone({refused});
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused->header("X-Verdict"));
        // A copy of the running call gets the outcome of that call.
        const auto copy
            = m_fleet->callEntry("entry-3", "/services/controller/abort", json::object(), {{"Idempotency-Key", first}});
        m_fleet->waitDone({running, copy});
        CPPUNIT_ASSERT_EQUAL(std::string("run"), running->header("X-Verdict"));
        CPPUNIT_ASSERT_EQUAL(std::string("run"), copy->header("X-Verdict"));
        m_fleet->signal("agent-s" + domain, SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, m_fleet->waitExit("agent-s" + domain));
        CPPUNIT_ASSERT(!m_fleet->getJson("service-" + domain, "/counts").contains(second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);
