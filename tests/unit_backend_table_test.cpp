#include "backend_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against an uneven distribution of requests, and against the choice of servers that are paused or leaving. */
class BackendTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BackendTableTest);
    CPPUNIT_TEST(balancesRequests);
    CPPUNIT_TEST(prefersOwnDomainUnlessLoaded);
    CPPUNIT_TEST(countsRequestsOfOtherGateways);
    CPPUNIT_TEST(pausesGrowWithFailures);
    CPPUNIT_TEST(stalledRankPausesWholeGroup);
    CPPUNIT_TEST(newGroupEpochEndsPause);
    CPPUNIT_TEST(fullServerIsNotDown);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{1'000s};
    std::mt19937_64 m_random{5};

    static BackendRecord record(const std::string &id, const std::string &domain = "near")
    {
        BackendRecord it;
        it.id = id;
        it.service = "s";
        it.address = "10.0.0.1:80";
        it.domain = domain;
        return it;
    }

    std::string chosen(BackendTable &table)
    {
        const auto pick = table.choose(m_now, "s", {}, m_random);
        return pick ? pick->server.id : "";
    }

public:
    void balancesRequests()
    {
        BackendTable table("near");
        for (int n = 0; n < 12; ++n) {
            table.upsert(record(std::to_string(n)));
        }
        for (int n = 0; n < 120; ++n) {
            table.onStart(chosen(table));
        }
        for (int n = 0; n < 12; ++n) {
            CPPUNIT_ASSERT_EQUAL(10U, table.find(std::to_string(n))->inFlight);
        }
    }

    void prefersOwnDomainUnlessLoaded()
    {
        BackendTable table("near");
        table.upsert(record("a"));
        table.upsert(record("b", "far"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(table));
        table.onStart("a");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(table));
    }

    void countsRequestsOfOtherGateways()
    {
        BackendTable table("near");
        table.upsert(record("a"));
        table.upsert(record("b"));
        table.onLoad(m_now, "a", {5, 1});
        table.onStart("b");
        CPPUNIT_ASSERT_EQUAL(std::string("b"), chosen(table));
        // An old load report has decayed to nothing.
        m_now += 20s;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(table));
    }

    void pausesGrowWithFailures()
    {
        BackendTable table("near");
        table.upsert(record("a"));
        table.onFault(m_now, "a", BackendFault::Unreachable);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(table));
        m_now += 250ms;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(table));
        table.onFault(m_now, "a", BackendFault::Unreachable);
        m_now += 450ms;
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(table));
        m_now += 50ms;
        table.onSuccess("a");
        table.onFault(m_now, "a", BackendFault::Unreachable);
        m_now += 250ms;
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(table));
    }

    void stalledRankPausesWholeGroup()
    {
        BackendTable table("near");
        for (const char *id : {"a", "b"}) {
            auto it = record(id);
            it.group = "g";
            table.upsert(it);
        }
        table.upsert(record("c"));
        table.onFault(m_now, "a", BackendFault::Stalled);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), chosen(table));
        table.onFault(m_now, "c", BackendFault::Unreachable);
        CPPUNIT_ASSERT(table.isDown(m_now, "s"));
    }

    void newGroupEpochEndsPause()
    {
        BackendTable table("near");
        auto it = record("a");
        it.group = "g";
        it.groupEpoch = 1;
        table.upsert(it);
        table.onFault(m_now, "a", BackendFault::Stalled);
        it.groupEpoch = 2;
        table.upsert(it);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), chosen(table));
    }

    /** A busy service must not count as down, since its callers get a shorter Retry-After than those of one that is. */
    void fullServerIsNotDown()
    {
        BackendTable table("near");
        table.upsert(record("a"));
        table.onFault(m_now, "a", BackendFault::Full);
        CPPUNIT_ASSERT_EQUAL(std::string(), chosen(table));
        CPPUNIT_ASSERT(!table.isDown(m_now, "s"));
        CPPUNIT_ASSERT(table.isDown(m_now, "unknown"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTableTest);
