#include "exchange_stand.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against running an unsafe request twice, which a retry after a partial send or a lost response would cause,
 * and against reporting "not run" for a request that a server may have run.
 */
class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(passesAnAnswerOn);
    CPPUNIT_TEST(unsafeRequestIsNotRepeatedAfterReset);
    CPPUNIT_TEST(unsafeRequestIsRepeatedAfterRefusal);
    CPPUNIT_TEST(safeRequestIsRepeatedAfterServerFailure);
    CPPUNIT_TEST(lastServerFailureIsPassedOn);
    CPPUNIT_TEST(unsignedSuccessIsNoAnswer);
    CPPUNIT_TEST(brokenBodyIsNotPassedOn);
    CPPUNIT_TEST(streamGoesOnAtAnotherServer);
    CPPUNIT_TEST(streamThatMayNotGoOnIsAborted);
    CPPUNIT_TEST(silentServerIsLeftInTime);
    CPPUNIT_TEST(timeoutIsAnsweredByWhatIsKnown);
    CPPUNIT_TEST(downServiceIsRefusedAtOnce);
    CPPUNIT_TEST(leavingCallerStopsTheServer);
    CPPUNIT_TEST(stalledGroupIsNotAskedAgain);
    CPPUNIT_TEST_SUITE_END();

    ExchangeStand m_stand;

    static const AttemptFailure &reset()
    {
        static const AttemptFailure it{Verdict::MayHaveRun, BackendFault::Unreachable, "reset"};
        return it;
    }

public:
    void passesAnAnswerOn()
    {
        auto exchange = m_stand.make();
        const auto start = exchange.start(m_stand.now);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, ExchangeStand::find<StartAttempt>(start)->fields.deadline.count());
        auto head = ExchangeStand::head(201);
        head.headers = {{"A", "1"}, {"Connection", "close"}, {"Content-Length", "3"}};
        CPPUNIT_ASSERT(exchange.onHead(m_stand.now, head, ExchangeStand::signedFields()).empty());
        CPPUNIT_ASSERT(exchange.onBody(m_stand.now, "abc").empty());
        const auto actions = exchange.onEnd(m_stand.now);
        const auto *sent = ExchangeStand::find<SendHead>(actions);
        CPPUNIT_ASSERT_EQUAL(201, sent->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent->headers.size());
        CPPUNIT_ASSERT(sent->contentLength == 3U);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), ExchangeStand::find<SendBody>(actions)->bytes);
        CPPUNIT_ASSERT(ExchangeStand::find<EndAnswer>(actions) != nullptr);
        CPPUNIT_ASSERT(exchange.summary().verdict == Verdict::Run);
    }

    void unsafeRequestIsNotRepeatedAfterReset()
    {
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        const auto actions = exchange.onFailure(m_stand.now, reset());
        CPPUNIT_ASSERT(ExchangeStand::find<StartAttempt>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeStand::find<Reply>(actions)->status);
    }

    void unsafeRequestIsRepeatedAfterRefusal()
    {
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        const auto again = exchange.onHead(m_stand.now, ExchangeStand::head(503), ExchangeStand::refusal());
        CPPUNIT_ASSERT(ExchangeStand::find<StartAttempt>(again) != nullptr);
        const auto last = exchange.onHead(m_stand.now, ExchangeStand::head(503), ExchangeStand::refusal());
        CPPUNIT_ASSERT_EQUAL(503, ExchangeStand::find<Reply>(last)->status);
        CPPUNIT_ASSERT(ExchangeStand::find<Reply>(last)->retryAfter.has_value());
    }

    void safeRequestIsRepeatedAfterServerFailure()
    {
        m_stand.rule.kind = RouteKind::Safe;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        const auto first = exchange.summary().server;
        const auto again = exchange.onHead(m_stand.now, ExchangeStand::head(500), ExchangeStand::signedFields());
        CPPUNIT_ASSERT(ExchangeStand::find<StartAttempt>(again)->server != first);
    }

    void lastServerFailureIsPassedOn()
    {
        m_stand.rule.kind = RouteKind::Safe;
        m_stand.rule.maxAttempts = 1;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        exchange.onHead(m_stand.now, ExchangeStand::head(500), ExchangeStand::signedFields());
        CPPUNIT_ASSERT_EQUAL(500, ExchangeStand::find<SendHead>(exchange.onEnd(m_stand.now))->status);
    }

    void unsignedSuccessIsNoAnswer()
    {
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        const auto actions = exchange.onHead(m_stand.now, ExchangeStand::head(200), {});
        CPPUNIT_ASSERT_EQUAL(502, ExchangeStand::find<Reply>(actions)->status);
    }

    void brokenBodyIsNotPassedOn()
    {
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        exchange.onHead(m_stand.now, ExchangeStand::head(200), ExchangeStand::signedFields());
        CPPUNIT_ASSERT(exchange.onBody(m_stand.now, "half").empty());
        const auto actions = exchange.onFailure(m_stand.now, reset());
        CPPUNIT_ASSERT(ExchangeStand::find<SendHead>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeStand::find<Reply>(actions)->status);
    }

    void streamGoesOnAtAnotherServer()
    {
        m_stand.rule.kind = RouteKind::Stream;
        m_stand.rule.isResumable = true;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        exchange.onHead(m_stand.now, ExchangeStand::head(200), ExchangeStand::signedFields());
        const auto sent = exchange.onBody(m_stand.now, "id: 1\ndata: a\n\nid: 2\nda");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), ExchangeStand::find<SendBody>(sent)->bytes);
        const auto again = exchange.onFailure(m_stand.now, reset());
        CPPUNIT_ASSERT(ExchangeStand::find<StartAttempt>(again)->fields.lastEventId == 1U);
        CPPUNIT_ASSERT(exchange.onHead(m_stand.now, ExchangeStand::head(200), ExchangeStand::signedFields()).empty());
        const auto rest = exchange.onBody(m_stand.now, "id: 2\ndata: b\n\n");
        CPPUNIT_ASSERT(ExchangeStand::find<SendHead>(rest) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), ExchangeStand::find<SendBody>(rest)->bytes);
        CPPUNIT_ASSERT(ExchangeStand::find<EndAnswer>(exchange.onEnd(m_stand.now)) != nullptr);
    }

    void streamThatMayNotGoOnIsAborted()
    {
        m_stand.rule.kind = RouteKind::Stream;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        exchange.onHead(m_stand.now, ExchangeStand::head(200), ExchangeStand::signedFields());
        exchange.onBody(m_stand.now, "id: 1\ndata: a\n\n");
        CPPUNIT_ASSERT(ExchangeStand::find<AbortAnswer>(exchange.onFailure(m_stand.now, reset())) != nullptr);
    }

    void silentServerIsLeftInTime()
    {
        m_stand.rule.kind = RouteKind::Safe;
        m_stand.rule.latencyTarget = 100ms;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        CPPUNIT_ASSERT(exchange.onTick(m_stand.now + 350ms).empty());
        const auto actions = exchange.onTick(m_stand.now + 450ms);
        CPPUNIT_ASSERT(ExchangeStand::find<StopAttempt>(actions) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'550}, ExchangeStand::find<StartAttempt>(actions)->fields.deadline.count());
    }

    void timeoutIsAnsweredByWhatIsKnown()
    {
        m_stand.rule.timeout = 1s;
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        CPPUNIT_ASSERT(exchange.onTick(m_stand.now + 990ms).empty());
        const auto actions = exchange.onTick(m_stand.now + 1s);
        CPPUNIT_ASSERT_EQUAL(504, ExchangeStand::find<Reply>(actions)->status);
        CPPUNIT_ASSERT(exchange.onTick(m_stand.now + 2s).empty());
    }

    void downServiceIsRefusedAtOnce()
    {
        for (const char *id : {"a", "b", "c"}) {
            m_stand.backends.onFault(m_stand.now, id, BackendFault::Unreachable);
        }
        auto exchange = m_stand.make();
        const auto actions = exchange.start(m_stand.now);
        const auto *reply = ExchangeStand::find<Reply>(actions);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        // Callers honour a Retry-After of up to a third of their remaining 5 s.
        CPPUNIT_ASSERT(*reply->retryAfter > 1'200ms && *reply->retryAfter <= 1'667ms);
    }

    void leavingCallerStopsTheServer()
    {
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        CPPUNIT_ASSERT(ExchangeStand::find<StopAttempt>(exchange.onCallerGone(m_stand.now)) != nullptr);
        CPPUNIT_ASSERT(exchange.onFailure(m_stand.now, reset()).empty());
        CPPUNIT_ASSERT_EQUAL(0U,
                             m_stand.backends.find("a")->inFlight + m_stand.backends.find("b")->inFlight
                                 + m_stand.backends.find("c")->inFlight);
    }

    /** All ranks of a stalled group refuse requests; a retry within it would waste an attempt and retry budget. */
    void stalledGroupIsNotAskedAgain()
    {
        for (const char *id : {"a", "b", "c"}) {
            auto record = m_stand.backends.find(id)->record;
            record.group = "g";
            m_stand.backends.upsert(record);
        }
        auto exchange = m_stand.make();
        exchange.start(m_stand.now);
        auto fields = ExchangeStand::refusal();
        fields.isGroupFault = true;
        const auto actions = exchange.onHead(m_stand.now, ExchangeStand::head(503), fields);
        CPPUNIT_ASSERT(ExchangeStand::find<StartAttempt>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(503, ExchangeStand::find<Reply>(actions)->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);
