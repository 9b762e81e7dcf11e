#include "suspect.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against sound requests whose callers always leave being refused, and against crashing ones getting through. */
class SuspectTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuspectTableTest);
    CPPUNIT_TEST(outlivedRequestIsNotRefused);
    CPPUNIT_TEST(requestThatServersSeldomOutliveIsRefused);
    CPPUNIT_TEST(outlivedAttemptsCountForCrashesToCome);
    CPPUNIT_TEST(clearedCrashIsReported);
    CPPUNIT_TEST(outlivedRequestIsNotBlamedForACrashingOne);
    CPPUNIT_TEST(failedDomainCountsOnce);
    CPPUNIT_TEST(copiesAtTheSameTimeCountEach);
    CPPUNIT_TEST(requestsThatCrashAgainAreReportedFirst);
    CPPUNIT_TEST_SUITE_END();

    Age m_now = 1'000s;
    SuspectTable m_table = makeTable();
    std::uint64_t m_servers = 0;

    static SuspectTable makeTable()
    {
        SuspectSettings settings;
        settings.domainLimit = settings.totalLimit;
        settings.commonCauseTime = 1s;
        return SuspectTable(settings);
    }

    static Fingerprint request(const std::string &body)
    {
        return fingerprintOf("w", "t", body);
    }

    void crash(const std::vector<std::string> &bodies)
    {
        std::vector<Fingerprint> requests;
        requests.reserve(bodies.size());
        for (const auto &it : bodies) {
            requests.push_back(request(it));
        }
        m_table.recordCrash(requests, "i-" + std::to_string(++m_servers), 1, "d", m_now);
    }

    void outlive(const std::string &body, int times)
    {
        for (int n = 0; n < times; ++n) {
            m_table.recordSurvived(request(body));
        }
    }

    bool isRefused(const std::string &body) const
    {
        return m_table.decide(request(body), m_now).action == SuspectAction::Refuse;
    }

public:
    /** Servers end for other reasons while a sound request, whose callers leave, comes all the time. */
    void outlivedRequestIsNotRefused()
    {
        for (int n = 0; n < 20; ++n) {
            m_now += 10s;
            crash({"x"});
            CPPUNIT_ASSERT(!isRefused("x"));
            outlive("x", 20);
        }
    }

    /** Some servers notice that the caller has left, and do not run the request. */
    void requestThatServersSeldomOutliveIsRefused()
    {
        for (int n = 0; n < 4; ++n) {
            m_now += 2s;
            crash({"x"});
            outlive("x", 1);
        }
        CPPUNIT_ASSERT(isRefused("x"));
    }

    /** All servers are restarted at once, so no attempt comes between their ends. */
    void outlivedAttemptsCountForCrashesToCome()
    {
        outlive("x", 100);
        for (int n = 0; n < 5; ++n) {
            m_now += 2s;
            crash({"x"});
            CPPUNIT_ASSERT(!isRefused("x"));
        }
        m_now += 2s;
        crash({"x"});
        CPPUNIT_ASSERT(isRefused("x"));
    }

    void clearedCrashIsReported()
    {
        crash({"x"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_table.nextReports(10, m_now).size());
        outlive("x", 16);
        const auto reports = m_table.nextReports(10, m_now);
        CPPUNIT_ASSERT(reports.size() == 1 && reports.front().isCleared);
        CPPUNIT_ASSERT(m_table.decide(request("x"), m_now).action == SuspectAction::Run);
    }

    /** Its copies are at each server at any time, so it has as many crashes as the one that causes them. */
    void outlivedRequestIsNotBlamedForACrashingOne()
    {
        for (int n = 0; n < 3; ++n) {
            m_now += 2s;
            crash({"x", "sound"});
            outlive("sound", n == 1 ? 1 : 0);
        }
        CPPUNIT_ASSERT(isRefused("x") && !isRefused("sound"));
        // Crashes that the other one does not explain still count.
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(!isRefused("sound"));
            m_now += 2s;
            crash({"sound"});
        }
        CPPUNIT_ASSERT(isRefused("sound"));
    }

    void failedDomainCountsOnce()
    {
        for (int n = 0; n < 3; ++n) {
            crash({"x", "a" + std::to_string(n)});
            m_now += 100ms;
            crash({"b" + std::to_string(n)});
        }
        CPPUNIT_ASSERT(!isRefused("x"));
        for (int n = 0; n < 2; ++n) {
            m_now += 5s;
            crash({"x"});
        }
        CPPUNIT_ASSERT(isRefused("x"));
    }

    void copiesAtTheSameTimeCountEach()
    {
        for (int n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(!isRefused("x"));
            crash({"x", "a" + std::to_string(n)});
        }
        CPPUNIT_ASSERT(isRefused("x"));
    }

    /** Among hundreds of requests whose callers have left, the one that ends servers again must get into a message. */
    void requestsThatCrashAgainAreReportedFirst()
    {
        crash({"x"});
        m_table.nextReports(1, m_now);
        m_now += 2s;
        crash({"x"});
        m_now += 1ms;
        for (int n = 0; n < 300; ++n) {
            crash({"sound " + std::to_string(n)});
        }
        CPPUNIT_ASSERT(m_table.nextReports(1, m_now).front().fingerprint == request("x"));
        CPPUNIT_ASSERT(m_table.isKnown(request("x")) && !m_table.isKnown(request("y")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTableTest);
