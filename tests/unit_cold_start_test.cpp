#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards what counts as cold, and where requests go that find no slot at a cold server. */
class ColdStartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdStartTest);
    CPPUNIT_TEST(serviceWithoutARateHasNoColdServers);
    CPPUNIT_TEST(serverAnnouncedBeforeTheConfigurationIsCold);
    CPPUNIT_TEST(announcedTimeCounts);
    CPPUNIT_TEST(newRunIsColdAgain);
    CPPUNIT_TEST(returnedDomainCountsAsCold);
    CPPUNIT_TEST(statementOfAnEarlierRunChangesNothing);
    CPPUNIT_TEST(othersTakeWhatFindsNoSlot);
    CPPUNIT_TEST(requestWithoutASlotIsRefusedAtOnce);
    CPPUNIT_TEST(unreachedServerCostsNoSlot);
    CPPUNIT_TEST_SUITE_END();

    ExchangeFixture m_fixture;

    ColdStartLimits &limits()
    {
        return m_fixture.coldStart;
    }

    void setRate(double perSecond)
    {
        RoutingService service;
        service.name = "s";
        service.coldStart = 3'000ms;
        service.coldRequestsPerSecond = perSecond;
        limits().setServices({service});
    }

    void announce(const std::string &id, std::optional<std::chrono::milliseconds> left, std::int64_t start = 0)
    {
        BackendRecord record;
        record.id = id;
        record.service = "s";
        record.domain = "d1";
        record.startTimeMs = start;
        record.coldLeft = left;
        limits().onAnnounced(m_fixture.now, record);
    }

    bool isCold(const std::string &id)
    {
        return limits().isCold(m_fixture.now, id);
    }

public:
    void serviceWithoutARateHasNoColdServers()
    {
        announce("a", 3'000ms);
        CPPUNIT_ASSERT(!isCold("a"));
        CPPUNIT_ASSERT(limits().take(m_fixture.now, {"a", 0, "d1"}).isAllowed);
    }

    /** The announcements may arrive before the configuration. */
    void serverAnnouncedBeforeTheConfigurationIsCold()
    {
        announce("a", std::nullopt);
        announce("b", 2'000ms);
        announce("c", 0ms);
        setRate(1);
        CPPUNIT_ASSERT(isCold("a"));
        CPPUNIT_ASSERT(isCold("b"));
        CPPUNIT_ASSERT(!isCold("c"));
    }

    void announcedTimeCounts()
    {
        setRate(1);
        announce("a", 0ms);
        announce("b", 2'000ms);
        announce("c", std::nullopt);
        CPPUNIT_ASSERT(!isCold("a"));
        m_fixture.now += 1'999ms;
        CPPUNIT_ASSERT(isCold("b"));
        m_fixture.now += 1ms;
        CPPUNIT_ASSERT(!isCold("b"));
        CPPUNIT_ASSERT(isCold("c"));
        m_fixture.now += 1'000ms;
        CPPUNIT_ASSERT(!isCold("c"));
    }

    void newRunIsColdAgain()
    {
        setRate(1);
        announce("a", 0ms, 1);
        announce("a", std::nullopt, 1);
        CPPUNIT_ASSERT(!isCold("a"));
        announce("a", std::nullopt, 2);
        CPPUNIT_ASSERT(isCold("a"));
    }

    void returnedDomainCountsAsCold()
    {
        setRate(1);
        announce("a", 0ms);
        limits().onDomainReturned(m_fixture.now, "d2");
        CPPUNIT_ASSERT(!isCold("a"));
        limits().onDomainReturned(m_fixture.now, "d1");
        CPPUNIT_ASSERT(isCold("a"));
    }

    void statementOfAnEarlierRunChangesNothing()
    {
        setRate(1);
        announce("a", 0ms, 2);
        limits().onColdTime(m_fixture.now, {"a", 1, "d1"}, 1'000ms);
        CPPUNIT_ASSERT(!isCold("a"));
        limits().onColdTime(m_fixture.now, {"a", 2, "d1"}, 1'000ms);
        CPPUNIT_ASSERT(isCold("a"));
    }

    void othersTakeWhatFindsNoSlot()
    {
        setRate(0.01);
        announce("a", 3'000ms);
        announce("b", 3'000ms);
        for (int n = 0; n < 20; ++n) {
            auto exchange = m_fixture.make();
            const auto actions = exchange.start(m_fixture.now);
            CPPUNIT_ASSERT_EQUAL(std::string("c"), m_fixture.find<StartAttempt>(actions)->server);
        }
    }

    void requestWithoutASlotIsRefusedAtOnce()
    {
        setRate(0.01);
        for (const char *id : {"a", "b", "c"}) {
            announce(id, 3'000ms);
        }
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(m_fixture.now);
        const auto *reply = m_fixture.find<Reply>(actions);
        CPPUNIT_ASSERT(reply != nullptr && reply->status == 503 && reply->retryAfter);
        CPPUNIT_ASSERT(exchange.summary().verdict == Verdict::NotRun);
    }

    void unreachedServerCostsNoSlot()
    {
        setRate(0.01);
        announce("a", 3'000ms);
        CPPUNIT_ASSERT(!limits().take(m_fixture.now, {"a", 0, "d1"}).isAllowed);
        limits().giveBack(m_fixture.now, {"a", 0, "d1"});
        CPPUNIT_ASSERT(limits().take(m_fixture.now, {"a", 0, "d1"}).isAllowed);
        CPPUNIT_ASSERT(!limits().take(m_fixture.now, {"a", 0, "d1"}).isAllowed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartTest);
