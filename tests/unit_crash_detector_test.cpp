#include "crash_detector.h"
#include "suspect.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against servers that count as ended although they are slow or leave as planned, and against missed ends. */
class CrashDetectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashDetectorTest);
    CPPUNIT_TEST(silentServerDoesNotCount);
    CPPUNIT_TEST(unreachableServerCountsForItsRequests);
    CPPUNIT_TEST(serverIsProbedOnceASecond);
    CPPUNIT_TEST(laterStartCounts);
    CPPUNIT_TEST(withdrawnAnnouncementCounts);
    CPPUNIT_TEST(leavingServerDoesNotCount);
    CPPUNIT_TEST(oldAttemptsDoNotCount);
    CPPUNIT_TEST(silenceTellsNothingOfParts);
    CPPUNIT_TEST(attemptsAfterTheEndDoNotCount);
    CPPUNIT_TEST(serverThatAnswersHasNotEnded);
    CPPUNIT_TEST(earlierFailuresAddNoParts);
    CPPUNIT_TEST(partsOfAnEndAreCounted);
    CPPUNIT_TEST(abandonedRequestCountsWithoutAProbe);
    CPPUNIT_TEST(abandonedRequestIsFoundWithTheOthers);
    CPPUNIT_TEST(abandonedRequestIsOutlived);
    CPPUNIT_TEST(refusedConnectionCausesAProbeForAbandonedRequests);
    CPPUNIT_TEST(withdrawalIsNoEndForAbandonedRequests);
    CPPUNIT_TEST(leavingServerDoesNotCountForAbandonedRequests);
    CPPUNIT_TEST(endReportedByAnotherGatewayCounts);
    CPPUNIT_TEST(floodOfAbandonedRequestsTakesNoEvidence);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{1'000s};
    BackendTable m_servers{"d1"};
    CrashDetector m_detector;
    const ServerIncarnation m_server{"a", 1, "d1"};
    const ServerIncarnation m_other{"b", 1, "d1"};

    static Fingerprint request(const std::string &body)
    {
        return fingerprintOf("w", "t", body);
    }

    void announce(const std::string &id, std::int64_t startTimeMs, bool isLeaving = false)
    {
        BackendRecord record;
        record.id = id;
        record.service = "s";
        record.address = "127.0.0.1:1";
        record.domain = "d1";
        record.startTimeMs = startTimeMs;
        record.isLeaving = isLeaving;
        m_servers.upsert(record);
    }

    /** Checks that exactly server "a" has ended, under request "x". */
    void expectEnd(EndEvidence evidence)
    {
        const auto ends = m_detector.checkAnnouncements(m_now, m_servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().server == m_server);
        CPPUNIT_ASSERT(ends.front().evidence == evidence);
        CPPUNIT_ASSERT(ends.front().requests == std::vector{request("x")});
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
    }

    /** The caller of a request leaves 50 ms after it was sent; its deadline is 1 s after that. */
    void abandon(const std::string &body, std::vector<Fingerprint> parts = {})
    {
        m_detector.onAbandoned(m_server, "127.0.0.1:1", {request(body), std::move(parts), m_now - 50ms, m_now + 950ms});
    }

public:
    void setUp() override
    {
        announce("a", 1);
        announce("b", 1);
    }

    void silentServerDoesNotCount()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now + 5s, m_servers).empty());
    }

    void unreachableServerCountsForItsRequests()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        m_detector.onUnanswered(m_now, m_server, request("y"));
        m_detector.onUnanswered(m_now, m_server, request("y"));
        m_detector.onUnanswered(m_now, m_other, request("z"));
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT((end->requests == std::vector{request("x"), request("y")}));
        CPPUNIT_ASSERT(!m_detector.onProbed(m_now, m_server, ProbeResult::Refused));
        CPPUNIT_ASSERT(m_detector.onProbed(m_now, m_other, ProbeResult::Refused)->requests
                       == std::vector{request("z")});
    }

    void serverIsProbedOnceASecond()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        m_detector.onUnanswered(m_now, m_server, request("y"));
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now) == std::vector{m_server});
        m_detector.onUnanswered(m_now, m_server, request("z"));
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now + 100ms).empty());
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now + 1s) == std::vector{m_server});
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now + 3s).empty());
    }

    void laterStartCounts()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        m_detector.onUnanswered(m_now, m_other, request("z"));
        announce("a", 2);
        expectEnd(EndEvidence::Restarted);
    }

    void withdrawnAnnouncementCounts()
    {
        m_detector.onUnanswered(m_now, m_other, request("z"));
        m_detector.onUnanswered(m_now, m_server, request("x"));
        m_servers.remove("a");
        expectEnd(EndEvidence::Withdrawn);
    }

    void leavingServerDoesNotCount()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        announce("a", 1, true);
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
        m_servers.remove("a");
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
    }

    void oldAttemptsDoNotCount()
    {
        m_detector.onUnanswered(m_now, m_server, request("x"));
        m_servers.remove("a");
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now + 60s, m_servers).empty());
        CPPUNIT_ASSERT(!m_detector.onProbed(m_now + 60s, m_server, ProbeResult::Refused));
    }

    /** A server that is cut off may still run all its requests, so only its later start or withdrawal tells. */
    void silenceTellsNothingOfParts()
    {
        const std::vector parts{partFingerprint("s", 1)};
        m_detector.onUnanswered(m_now, m_server, request("x"), parts, m_now - 50ms);
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Silent);
        CPPUNIT_ASSERT(end->requests == std::vector{request("x")} && end->parts.empty());
        CPPUNIT_ASSERT(!m_detector.endOf(m_server));
        announce("a", 2);
        const auto ends = m_detector.checkAnnouncements(m_now + 2s, m_servers);
        CPPUNIT_ASSERT(ends.front().requests.empty());
        CPPUNIT_ASSERT(ends.front().parts == (std::vector<PartInFlight>{{parts.front(), 0, 50ms}}));
        CPPUNIT_ASSERT(ends.front().at == m_now && m_detector.endOf(m_server) == m_now);
    }

    /** Such an attempt was sent over a connection that was left over. */
    void attemptsAfterTheEndDoNotCount()
    {
        const std::vector parts{partFingerprint("s", 1)};
        m_detector.onEndReported("a", 1, m_now - 1s);
        m_detector.onUnanswered(m_now, m_server, request("x"), parts, m_now - 50ms);
        CPPUNIT_ASSERT(!m_detector.onProbed(m_now, m_server, ProbeResult::Refused));
        m_detector.onUnanswered(m_now, m_server, request("x"), parts, m_now - 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_detector.onProbed(m_now, m_server, ProbeResult::Refused)->parts.size());
    }

    /** A lapsed announcement looks like an end; later ends under a request must still count. */
    void serverThatAnswersHasNotEnded()
    {
        const std::vector parts{partFingerprint("s", 1)};
        m_detector.onUnanswered(m_now - 2s, m_server, request("w"), parts, m_now - 3s);
        m_servers.remove("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_detector.checkAnnouncements(m_now, m_servers).size());
        announce("a", 1);
        m_detector.onAnswered(m_now, m_server);
        CPPUNIT_ASSERT(!m_detector.endOf(m_server));
        m_detector.onUnanswered(m_now, m_server, request("x"), parts, m_now - 50ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_detector.onProbed(m_now, m_server, ProbeResult::Refused)->parts.size());
    }

    /** They are left from a stall of the group, for example. */
    void earlierFailuresAddNoParts()
    {
        const std::vector early{partFingerprint("s", 1)};
        const std::vector last{partFingerprint("s", 2)};
        m_detector.onUnanswered(m_now - 5s, m_server, request("x"), early, m_now - 6s);
        m_detector.onUnanswered(m_now, m_server, request("y"), last, m_now - 50ms);
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT(end->parts == (std::vector<PartInFlight>{{last.front(), 0, 50ms}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, end->requests.size());
    }

    void partsOfAnEndAreCounted()
    {
        const auto shared = partFingerprint("s", 1);
        const auto other = partFingerprint("s", 2);
        m_detector.onUnanswered(m_now, m_server, request("x"), std::vector{shared, other}, m_now - 50ms);
        m_detector.onUnanswered(m_now, m_server, request("y"), std::vector{shared}, m_now - 20ms);
        m_detector.onUnanswered(m_now, m_server, request("z"));
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT(end->parts == (std::vector<PartInFlight>{{shared, 0, 20ms}, {other, 1, 50ms}}));
    }

    /** The server may go on with a request whose caller has left; callers leave too often for a probe each time. */
    void abandonedRequestCountsWithoutAProbe()
    {
        const std::vector parts{partFingerprint("s", 1)};
        abandon("x", parts);
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now).empty());
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
        m_now += 2'600ms;
        announce("a", 2);
        const auto ends = m_detector.checkAnnouncements(m_now, m_servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends.front().requests == std::vector{request("x")});
        CPPUNIT_ASSERT(ends.front().parts == (std::vector<PartInFlight>{{parts.front(), 0, 2'650ms}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.front().abandonedRequests);
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
    }

    void abandonedRequestIsFoundWithTheOthers()
    {
        const std::vector parts{partFingerprint("s", 1)};
        abandon("x", parts);
        m_now += 30ms;
        m_detector.onUnanswered(m_now, m_server, request("y"), {}, m_now - 20ms);
        const auto end = m_detector.onProbed(m_now + 10ms, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT((end->requests == std::vector{request("y"), request("x")}));
        CPPUNIT_ASSERT(end->parts == (std::vector<PartInFlight>{{parts.front(), 0, 80ms}}));
        CPPUNIT_ASSERT(end->at == m_now);
    }

    /** Otherwise each sound request whose caller leaves would be suspected as well. */
    void abandonedRequestIsOutlived()
    {
        abandon("x");
        m_detector.onAnswered(m_now + 900ms, m_server);
        CPPUNIT_ASSERT(m_detector.takeSurvived().empty());
        m_detector.onAnswered(m_now + 951ms, m_other);
        CPPUNIT_ASSERT(m_detector.takeSurvived().empty());
        m_detector.onAnswered(m_now + 951ms, m_server);
        const auto survived = m_detector.takeSurvived();
        CPPUNIT_ASSERT(survived.size() == 1 && survived.front().fingerprint == request("x"));
        announce("a", 2);
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now + 960ms, m_servers).empty());
    }

    void refusedConnectionCausesAProbeForAbandonedRequests()
    {
        m_detector.onUnreachable(m_server);
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now).empty());
        abandon("x");
        m_detector.onUnreachable(m_other);
        m_detector.onUnreachable(m_server);
        m_detector.onUnreachable(m_server);
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now) == std::vector{m_server});
        CPPUNIT_ASSERT(!m_detector.onProbed(m_now, m_server, ProbeResult::Silent));
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT(end->requests == std::vector{request("x")});
    }

    /** Some servers that leave as planned only take their announcement away, and serve on for a while. */
    void withdrawalIsNoEndForAbandonedRequests()
    {
        for (const auto result : {ProbeResult::Listening, ProbeResult::Refused}) {
            announce("a", 1);
            abandon("x");
            m_servers.remove("a");
            CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
            CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
            CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now) == std::vector{m_server});
            CPPUNIT_ASSERT(m_detector.addressOf(m_server) == "127.0.0.1:1");
            const auto end = m_detector.onProbed(m_now, m_server, result);
            CPPUNIT_ASSERT_EQUAL(result == ProbeResult::Refused, end.has_value());
            CPPUNIT_ASSERT(!m_detector.addressOf(m_server));
            m_now += 2s;
        }
    }

    void leavingServerDoesNotCountForAbandonedRequests()
    {
        abandon("x");
        announce("a", 1, true);
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
        announce("a", 2);
        CPPUNIT_ASSERT(m_detector.checkAnnouncements(m_now, m_servers).empty());
    }

    /** Each gateway knows only of its own requests, and only some of them notice the end by themselves. */
    void endReportedByAnotherGatewayCounts()
    {
        abandon("x");
        m_now += 500ms;
        abandon("y");
        m_detector.onEndReported("a", 1, m_now - 100ms);
        const auto end = m_detector.takeReportedEnd("a", 1);
        CPPUNIT_ASSERT(end->server == m_server && end->evidence == EndEvidence::Reported);
        CPPUNIT_ASSERT(end->requests == std::vector{request("x")});
        CPPUNIT_ASSERT(!m_detector.takeReportedEnd("a", 1) && !m_detector.takeReportedEnd("b", 1));
    }

    /** 10,000 callers a second leave, all at one server. */
    void floodOfAbandonedRequestsTakesNoEvidence()
    {
        m_detector.onUnanswered(m_now, m_other, request("z"), {}, m_now);
        abandon("x");
        for (int n = 0; n < 40'000; ++n) {
            if (n % 10 == 0) {
                m_now += 1ms;
                m_detector.onAnswered(m_now, m_other);
            }
            abandon("sound " + std::to_string(n));
            m_detector.takeSurvived();
        }
        CPPUNIT_ASSERT(m_detector.takeServersToProbe(m_now) == std::vector{m_other});
        CPPUNIT_ASSERT(m_detector.onProbed(m_now, m_other, ProbeResult::Refused)->requests
                       == std::vector{request("z")});
        const auto end = m_detector.onProbed(m_now, m_server, ProbeResult::Refused);
        CPPUNIT_ASSERT(end->requests.size() <= 1'024);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashDetectorTest);
