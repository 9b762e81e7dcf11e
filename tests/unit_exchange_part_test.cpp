#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against a request being sent to a second server after a part of its prompt has ended the first one, and against
 * sound requests paying for it.
 */
class ExchangePartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangePartTest);
    CPPUNIT_TEST(requestWithAccusedPartIsRefused);
    CPPUNIT_TEST(requestIsNotResentIfItsServerEnded);
    CPPUNIT_TEST(requestIsResentIfItsServerListens);
    CPPUNIT_TEST(requestIsResentAtOnceIfTheServerHadEndedBefore);
    CPPUNIT_TEST(requestWithSoundPartsIsResentAtOnce);
    CPPUNIT_TEST(waitEndsWithTheCallerOrTheTime);
    CPPUNIT_TEST(partIsSoundOnceEventsGoOn);
    CPPUNIT_TEST(completeAnswerProvesParts);
    CPPUNIT_TEST(errorsOfServersProveNothing);
    CPPUNIT_TEST(requestWithAnswerIsNoCandidate);
    CPPUNIT_TEST(callerThatLeavesEarlyDoesNotHideARequest);
    CPPUNIT_TEST(deadlineDoesNotHideARequest);
    CPPUNIT_TEST(cancelledStreamWithAnAnswerIsNoCandidate);
    CPPUNIT_TEST(refusedConnectionTellsOfAbandonedRequests);
    CPPUNIT_TEST_SUITE_END();

    ExchangeFixture m_fixture;
    const Fingerprint m_first = partFingerprint("s", 1);
    const Fingerprint m_second = partFingerprint("s", 2);

    static AttemptFailure reset()
    {
        return {Verdict::MayHaveRun, BackendFault::Broken, "reset"};
    }

    static std::string event(int n)
    {
        return "id: " + std::to_string(n) + "\n\n";
    }

    /** Starts an exchange and returns it with the server that it was sent to. */
    std::pair<Exchange, ServerIncarnation> startOne()
    {
        std::pair started(m_fixture.make(), ServerIncarnation{});
        const auto actions = started.first.start(m_fixture.now);
        const auto *start = ExchangeFixture::find<StartAttempt>(actions);
        CPPUNIT_ASSERT(start != nullptr);
        started.second = {start->server, 0, "d1"};
        return started;
    }

    void expectResent(const ExchangeActions &actions, const ServerIncarnation &first)
    {
        const auto *start = ExchangeFixture::find<StartAttempt>(actions);
        CPPUNIT_ASSERT(start != nullptr && start->server != first.id);
    }

    std::optional<ServerEnd> probe(const ServerIncarnation &server, ProbeResult result)
    {
        return m_fixture.crashes.onProbed(m_fixture.now, server, result);
    }

public:
    void setUp() override
    {
        m_fixture.rule.kind = RouteKind::Stream;
        m_fixture.rule.isResumable = true;
        m_fixture.promptParts = {m_first, m_second};
    }

    void requestWithAccusedPartIsRefused()
    {
        const std::vector<PartInFlight> inFlight{{m_second, 1, 50ms}};
        for (const char *server : {"x", "y"}) {
            m_fixture.now += 5s;
            m_fixture.parts.recordCrash(inFlight, server, 1, suspectTime(m_fixture.now));
        }
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(m_fixture.now);
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) == nullptr);
        const auto *reply = ExchangeFixture::find<Reply>(actions);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(reply->retryAfter == 60s && exchange.summary().verdict == Verdict::NotRun);
        m_fixture.promptParts = {m_first, partFingerprint("s", 3)};
        startOne();
    }

    void requestIsNotResentIfItsServerEnded()
    {
        auto [exchange, server] = startOne();
        m_fixture.now += 50ms;
        CPPUNIT_ASSERT(exchange.onFailure(m_fixture.now, reset()).empty());
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now).empty());
        const auto end = probe(server, ProbeResult::Refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, end->parts.size());
        const auto actions = exchange.onTick(m_fixture.now + 50ms);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeFixture::find<Reply>(actions)->status);
        CPPUNIT_ASSERT_EQUAL(1U, exchange.summary().attempts);
    }

    void requestIsResentIfItsServerListens()
    {
        auto [exchange, server] = startOne();
        exchange.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(!probe(server, ProbeResult::Listening));
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now + 50ms).empty());
        expectResent(exchange.onTick(m_fixture.now + 100ms), server);
    }

    /** The connection was left over from before the end, so the request cannot be its cause. */
    void requestIsResentAtOnceIfTheServerHadEndedBefore()
    {
        for (const char *id : {"a", "b", "c"}) {
            m_fixture.crashes.onEndReported(id, 0, m_fixture.now - 1s);
        }
        auto [exchange, server] = startOne();
        expectResent(exchange.onFailure(m_fixture.now, reset()), server);
        CPPUNIT_ASSERT(!probe(server, ProbeResult::Refused));
    }

    void requestWithSoundPartsIsResentAtOnce()
    {
        m_fixture.parts.recordSound(m_fixture.promptParts, suspectTime(m_fixture.now));
        auto [exchange, server] = startOne();
        expectResent(exchange.onFailure(m_fixture.now, reset()), server);
    }

    void waitEndsWithTheCallerOrTheTime()
    {
        auto [left, server] = startOne();
        left.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(left.onCallerDisconnect(m_fixture.now).empty());
        CPPUNIT_ASSERT(left.isEnded() && left.onTick(m_fixture.now + 1s).empty());

        auto late = startOne().first;
        m_fixture.now += 4'990ms;
        late.onFailure(m_fixture.now, reset());
        const auto actions = late.onTick(m_fixture.now + 10ms);
        CPPUNIT_ASSERT_EQUAL(504, ExchangeFixture::find<Reply>(actions)->status);
    }

    /** A server that crashes as it begins an answer may have sent the first event of it. */
    void partIsSoundOnceEventsGoOn()
    {
        auto exchange = startOne().first;
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onBody(m_fixture.now, event(1));
        exchange.onBody(m_fixture.now + 99ms, event(2));
        CPPUNIT_ASSERT(!m_fixture.parts.areSound(m_fixture.promptParts));
        exchange.onBody(m_fixture.now + 100ms, event(3));
        CPPUNIT_ASSERT(m_fixture.parts.areSound(m_fixture.promptParts));
    }

    void completeAnswerProvesParts()
    {
        auto exchange = startOne().first;
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onBody(m_fixture.now, event(1));
        exchange.onEnd(m_fixture.now);
        CPPUNIT_ASSERT(m_fixture.parts.areSound(m_fixture.promptParts));
    }

    void errorsOfServersProveNothing()
    {
        m_fixture.rule.maxAttempts = 1;
        auto exchange = startOne().first;
        exchange.onHead(m_fixture.now, ExchangeFixture::head(500), ExchangeFixture::signedFields());
        exchange.onEnd(m_fixture.now);
        CPPUNIT_ASSERT_EQUAL(500, exchange.summary().status);
        CPPUNIT_ASSERT(!m_fixture.parts.areSound(m_fixture.promptParts));
    }

    void requestWithAnswerIsNoCandidate()
    {
        auto [exchange, server] = startOne();
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onBody(m_fixture.now, event(1));
        m_fixture.now += 200ms;
        exchange.onBody(m_fixture.now, event(2));
        expectResent(exchange.onFailure(m_fixture.now, reset()), server);
        CPPUNIT_ASSERT(probe(server, ProbeResult::Refused)->parts.empty());
    }

    /** After 10 ms as after 4 s; only after a long silence is the server probed. */
    void callerThatLeavesEarlyDoesNotHideARequest()
    {
        for (const auto kind : {RouteKind::Stream, RouteKind::Safe, RouteKind::Unsafe}) {
            m_fixture.rule.kind = kind;
            for (const auto after : {10ms, 50ms, 1'000ms, 4'000ms}) {
                auto [exchange, server] = startOne();
                m_fixture.now += after;
                exchange.onCallerDisconnect(m_fixture.now);
                CPPUNIT_ASSERT_EQUAL(after >= 500ms, !m_fixture.crashes.takeServersToProbe(m_fixture.now).empty());
                m_fixture.now += 30ms;
                const auto end = probe(server, ProbeResult::Refused);
                CPPUNIT_ASSERT(end && end->requests == std::vector{Fingerprint{}});
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, end->parts.size());
                m_fixture.crashes.onAnswered(m_fixture.now, server);
                m_fixture.now += 60s;
            }
        }
    }

    void deadlineDoesNotHideARequest()
    {
        m_fixture.rule.timeout = 300ms;
        auto [exchange, server] = startOne();
        m_fixture.now += 300ms;
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now).size() > 0 && exchange.isEnded());
        CPPUNIT_ASSERT(probe(server, ProbeResult::Refused)->requests == std::vector{Fingerprint{}});
    }

    void cancelledStreamWithAnAnswerIsNoCandidate()
    {
        auto [exchange, server] = startOne();
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onBody(m_fixture.now, event(1));
        m_fixture.now += 200ms;
        exchange.onBody(m_fixture.now, event(2));
        exchange.onCallerDisconnect(m_fixture.now);
        CPPUNIT_ASSERT(!probe(server, ProbeResult::Refused));
    }

    void refusedConnectionTellsOfAbandonedRequests()
    {
        for (int n = 0; n < 6; ++n) {
            startOne().first.onCallerDisconnect(m_fixture.now);
        }
        CPPUNIT_ASSERT(m_fixture.crashes.takeServersToProbe(m_fixture.now).empty());
        auto [exchange, server] = startOne();
        exchange.onFailure(m_fixture.now, {Verdict::NotRun, BackendFault::Unreachable, "no connection"});
        CPPUNIT_ASSERT(m_fixture.crashes.takeServersToProbe(m_fixture.now) == std::vector{server});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangePartTest);
