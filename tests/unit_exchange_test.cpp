#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace turmericline;
using namespace std::chrono_literals;

/** Sends whole requests, to see which servers get them. */
struct StatementFixture : ExchangeFixture
{
    /** Sends a request to a server, which answers it with @p status and @p fields. Returns the server. */
    std::string answerOne(int status, const ResponseFields &fields)
    {
        auto exchange = make();
        const auto actions = exchange.start(now);
        const auto *start = find<StartAttempt>(actions);
        auto server = start == nullptr ? std::string() : start->server;
        exchange.onHead(now, head(status), fields);
        exchange.onEnd(now);
        return server;
    }

    /** Servers that got one of @p n requests. */
    std::set<std::string> serversOf(int n)
    {
        std::set<std::string> servers;
        for (int i = 0; i < n; ++i) {
            servers.insert(answerOne(200, signedFields()));
        }
        return servers;
    }
};

/**
 * Guards against running an unsafe request twice, which a retry after a partial send or a lost response would cause,
 * and against reporting "not run" for a request that a server may have run.
 */
class ExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeTest);
    CPPUNIT_TEST(forwardsResponse);
    CPPUNIT_TEST(unsafeRequestIsNotRetriedAfterReset);
    CPPUNIT_TEST(unsafeRequestIsRetriedAfterRefusal);
    CPPUNIT_TEST(safeRequestIsRetriedAfterServerError);
    CPPUNIT_TEST(lastServerErrorIsForwarded);
    CPPUNIT_TEST(unsignedSuccessIsRejected);
    CPPUNIT_TEST(truncatedBodyIsNotForwarded);
    CPPUNIT_TEST(streamResumesAtAnotherServer);
    CPPUNIT_TEST(nonResumableStreamIsAborted);
    CPPUNIT_TEST(silentServerTimesOut);
    CPPUNIT_TEST(timeoutDuringAttemptReplies504);
    CPPUNIT_TEST(downServiceIsRejectedImmediately);
    CPPUNIT_TEST(callerDisconnectStopsAttempt);
    CPPUNIT_TEST(stalledGroupIsNotRetried);
    CPPUNIT_TEST(requestThatCrashedServersIsRefused);
    CPPUNIT_TEST(requestThatCrashesThirdServerIsNotRetried);
    CPPUNIT_TEST(completedRequestIsNoLongerSuspected);
    CPPUNIT_TEST(unansweredAttemptsAreReported);
    CPPUNIT_TEST(streamWithoutEventsEndsAndSlowOneDoesNot);
    CPPUNIT_TEST(eventWithoutEndIsABrokenAnswer);
    CPPUNIT_TEST(serverThatStatesThatItLeavesGetsNoRequests);
    CPPUNIT_TEST(forgedStatementIsIgnored);
    CPPUNIT_TEST(serverThatAsksToWaitGetsNoRequests);
    CPPUNIT_TEST(callersAreToldWhenTheFirstServerWantsRequests);
    CPPUNIT_TEST(returnsAfterARefusalAreSpread);
    CPPUNIT_TEST(errorOfTheNextServerStaysOutOfAStream);
    CPPUNIT_TEST_SUITE_END();

    ExchangeFixture m_fixture;

    static const AttemptFailure &reset()
    {
        static const AttemptFailure it{Verdict::MayHaveRun, BackendFault::Unreachable, "reset"};
        return it;
    }

public:
    void forwardsResponse()
    {
        auto exchange = m_fixture.make();
        const auto start = exchange.start(m_fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000}, ExchangeFixture::find<StartAttempt>(start)->fields.deadline.count());
        auto head = ExchangeFixture::head(201);
        head.headers = {{"A", "1"}, {"Connection", "close"}, {"Content-Length", "3"}};
        CPPUNIT_ASSERT(exchange.onHead(m_fixture.now, head, ExchangeFixture::signedFields()).empty());
        CPPUNIT_ASSERT(exchange.onBody(m_fixture.now, "abc").empty());
        const auto actions = exchange.onEnd(m_fixture.now);
        const auto *sent = ExchangeFixture::find<SendHead>(actions);
        CPPUNIT_ASSERT_EQUAL(201, sent->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent->headers.size());
        CPPUNIT_ASSERT(sent->contentLength == 3U);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), ExchangeFixture::find<SendBody>(actions)->bytes);
        CPPUNIT_ASSERT(ExchangeFixture::find<EndResponse>(actions) != nullptr);
        CPPUNIT_ASSERT(exchange.summary().verdict == Verdict::Run);
    }

    void unsafeRequestIsNotRetriedAfterReset()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        const auto actions = exchange.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeFixture::find<Reply>(actions)->status);
    }

    void unsafeRequestIsRetriedAfterRefusal()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        const auto again = exchange.onHead(m_fixture.now, ExchangeFixture::head(503), ExchangeFixture::refusal());
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(again) != nullptr);
        const auto last = exchange.onHead(m_fixture.now, ExchangeFixture::head(503), ExchangeFixture::refusal());
        CPPUNIT_ASSERT_EQUAL(503, ExchangeFixture::find<Reply>(last)->status);
        CPPUNIT_ASSERT(ExchangeFixture::find<Reply>(last)->retryAfter.has_value());
    }

    void safeRequestIsRetriedAfterServerError()
    {
        m_fixture.rule.kind = RouteKind::Safe;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        const auto first = exchange.summary().server;
        const auto again = exchange.onHead(m_fixture.now, ExchangeFixture::head(500), ExchangeFixture::signedFields());
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(again)->server != first);
    }

    void lastServerErrorIsForwarded()
    {
        m_fixture.rule.kind = RouteKind::Safe;
        m_fixture.rule.maxAttempts = 1;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onHead(m_fixture.now, ExchangeFixture::head(500), ExchangeFixture::signedFields());
        CPPUNIT_ASSERT_EQUAL(500, ExchangeFixture::find<SendHead>(exchange.onEnd(m_fixture.now))->status);
    }

    void unsignedSuccessIsRejected()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        const auto actions = exchange.onHead(m_fixture.now, ExchangeFixture::head(200), {});
        CPPUNIT_ASSERT_EQUAL(502, ExchangeFixture::find<Reply>(actions)->status);
    }

    void truncatedBodyIsNotForwarded()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        CPPUNIT_ASSERT(exchange.onBody(m_fixture.now, "half").empty());
        const auto actions = exchange.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(ExchangeFixture::find<SendHead>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeFixture::find<Reply>(actions)->status);
    }

    void streamResumesAtAnotherServer()
    {
        m_fixture.rule.kind = RouteKind::Stream;
        m_fixture.rule.isResumable = true;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        const auto sent = exchange.onBody(m_fixture.now, "id: 1\ndata: a\n\nid: 2\nda");
        CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), ExchangeFixture::find<SendBody>(sent)->bytes);
        const auto again = exchange.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(again)->fields.lastEventId == 1U);
        CPPUNIT_ASSERT(
            exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields()).empty());
        const auto rest = exchange.onBody(m_fixture.now, "id: 2\ndata: b\n\n");
        CPPUNIT_ASSERT(ExchangeFixture::find<SendHead>(rest) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::string("id: 2\ndata: b\n\n"), ExchangeFixture::find<SendBody>(rest)->bytes);
        CPPUNIT_ASSERT(ExchangeFixture::find<EndResponse>(exchange.onEnd(m_fixture.now)) != nullptr);
    }

    void nonResumableStreamIsAborted()
    {
        m_fixture.rule.kind = RouteKind::Stream;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onBody(m_fixture.now, "id: 1\ndata: a\n\n");
        CPPUNIT_ASSERT(ExchangeFixture::find<AbortResponse>(exchange.onFailure(m_fixture.now, reset())) != nullptr);
    }

    void silentServerTimesOut()
    {
        m_fixture.rule.kind = RouteKind::Safe;
        m_fixture.rule.latencyTarget = 100ms;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now + 350ms).empty());
        const auto actions = exchange.onTick(m_fixture.now + 450ms);
        CPPUNIT_ASSERT(ExchangeFixture::find<StopAttempt>(actions) != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'550},
                             ExchangeFixture::find<StartAttempt>(actions)->fields.deadline.count());
    }

    void timeoutDuringAttemptReplies504()
    {
        m_fixture.rule.timeout = 1s;
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now + 990ms).empty());
        const auto actions = exchange.onTick(m_fixture.now + 1s);
        CPPUNIT_ASSERT_EQUAL(504, ExchangeFixture::find<Reply>(actions)->status);
        CPPUNIT_ASSERT(exchange.onTick(m_fixture.now + 2s).empty());
    }

    void downServiceIsRejectedImmediately()
    {
        for (const char *id : {"a", "b", "c"}) {
            m_fixture.backends.onFault(m_fixture.now, id, BackendFault::Unreachable);
        }
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(m_fixture.now);
        const auto *reply = ExchangeFixture::find<Reply>(actions);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        // Callers honour a Retry-After of up to a third of their remaining 5 s.
        CPPUNIT_ASSERT(*reply->retryAfter > 1'200ms && *reply->retryAfter <= 1'667ms);
    }

    void callerDisconnectStopsAttempt()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        CPPUNIT_ASSERT(ExchangeFixture::find<StopAttempt>(exchange.onCallerDisconnect(m_fixture.now)) != nullptr);
        CPPUNIT_ASSERT(exchange.onFailure(m_fixture.now, reset()).empty());
        CPPUNIT_ASSERT_EQUAL(0U,
                             m_fixture.backends.find("a")->inFlight + m_fixture.backends.find("b")->inFlight
                                 + m_fixture.backends.find("c")->inFlight);
    }

    /** All ranks of a stalled group refuse requests; a retry within it would waste an attempt and retry budget. */
    void stalledGroupIsNotRetried()
    {
        for (const char *id : {"a", "b", "c"}) {
            auto record = m_fixture.backends.find(id)->record;
            record.group = "g";
            m_fixture.backends.upsert(record);
        }
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        auto fields = ExchangeFixture::refusal();
        fields.isGroupFault = true;
        const auto actions = exchange.onHead(m_fixture.now, ExchangeFixture::head(503), fields);
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(503, ExchangeFixture::find<Reply>(actions)->status);
    }

    void requestThatCrashedServersIsRefused()
    {
        m_fixture.recordCrashes(3);
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(m_fixture.now);
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) == nullptr);
        const auto *reply = ExchangeFixture::find<Reply>(actions);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(reply->retryAfter == 300s);
        CPPUNIT_ASSERT(exchange.summary().verdict == Verdict::NotRun);
    }

    /** The attempt may have run, so the caller must not be told that the request has not run. */
    void requestThatCrashesThirdServerIsNotRetried()
    {
        m_fixture.rule.kind = RouteKind::Safe;
        m_fixture.recordCrashes(2);
        auto exchange = m_fixture.make();
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(exchange.start(m_fixture.now)) != nullptr);
        m_fixture.recordCrashes(3);
        const auto actions = exchange.onFailure(m_fixture.now, reset());
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) == nullptr);
        CPPUNIT_ASSERT_EQUAL(502, ExchangeFixture::find<Reply>(actions)->status);
    }

    void completedRequestIsNoLongerSuspected()
    {
        m_fixture.recordCrashes(2);
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        exchange.onEnd(m_fixture.now);
        CPPUNIT_ASSERT(exchange.summary().hasClearedSuspicion);
        m_fixture.recordCrashes(3);
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(m_fixture.make().start(m_fixture.now)) != nullptr);
    }

    void unansweredAttemptsAreReported()
    {
        auto exchange = m_fixture.make();
        exchange.start(m_fixture.now);
        exchange.onFailure(m_fixture.now, reset());
        const auto &failed = exchange.summary().failedAttempts;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
        CPPUNIT_ASSERT(m_fixture.crashes.takeServersToProbe(m_fixture.now) == std::vector{failed.front().server});

        // A caller that leaves at once says nothing about the server, unlike one that leaves after a long silence.
        auto early = m_fixture.make();
        early.start(m_fixture.now);
        early.onCallerDisconnect(m_fixture.now + 100ms);
        CPPUNIT_ASSERT(m_fixture.crashes.takeServersToProbe(m_fixture.now + 2s).empty());
        auto late = m_fixture.make();
        late.start(m_fixture.now);
        late.onCallerDisconnect(m_fixture.now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_fixture.crashes.takeServersToProbe(m_fixture.now + 2s).size());
    }

    /** A byte now and then kept a stalled stream until the end of its time; a slow one must go on. */
    void streamWithoutEventsEndsAndSlowOneDoesNot()
    {
        ExchangeFixture it;
        it.rule.kind = RouteKind::Stream;
        it.rule.isResumable = true;
        it.rule.timeout = 60s;
        for (const bool isStalled : {true, false}) {
            auto exchange = it.make();
            const auto server = ExchangeFixture::find<StartAttempt>(exchange.start(it.now))->server;
            exchange.onHead(it.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
            std::size_t stops = 0;
            for (int n = 1; n <= 30; ++n) {
                it.now += 150ms;
                // The slow server sends an event every 1.5 s, a byte or two at a time; the other one never ends one.
                const auto event = "id: " + std::to_string(n) + "\n\n";
                const bool isEnd = !isStalled && n % 10 == 0;
                exchange.onBody(it.now, isEnd ? event : ":");
                const auto actions = exchange.onTick(it.now);
                if (ExchangeFixture::find<StopAttempt>(actions) != nullptr) {
                    ++stops;
                    CPPUNIT_ASSERT(server != ExchangeFixture::find<StartAttempt>(actions)->server);
                    break;
                }
            }
            CPPUNIT_ASSERT_EQUAL(isStalled ? std::size_t{1} : std::size_t{0}, stops);
        }
    }

    void eventWithoutEndIsABrokenAnswer()
    {
        ExchangeFixture it;
        it.rule.kind = RouteKind::Stream;
        it.rule.isResumable = true;
        auto exchange = it.make();
        exchange.start(it.now);
        exchange.onHead(it.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        const std::string block(64 << 10, 'x');
        std::size_t sent = 0;
        auto actions = exchange.onBody(it.now, block);
        while (actions.empty() && sent < (4U << 20U)) {
            sent += block.size();
            actions = exchange.onBody(it.now, block);
        }
        CPPUNIT_ASSERT(ExchangeFixture::find<StopAttempt>(actions) != nullptr);
        CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(actions) != nullptr);
        CPPUNIT_ASSERT(exchange.summary().failedAttempts.front().fault == BackendFault::Broken);
    }

    void serverThatStatesThatItLeavesGetsNoRequests()
    {
        StatementFixture it;
        auto fields = it.signedFields();
        fields.isLeaving = true;
        const auto leaving = it.answerOne(200, fields);
        CPPUNIT_ASSERT(it.backends.find(leaving)->record.isLeaving);
        CPPUNIT_ASSERT(!it.serversOf(50).contains(leaving));
        // A request that waits for its answer is not sent there a second time either.
        auto refused = it.refusal();
        refused.isLeaving = true;
        const auto second = it.answerOne(503, refused);
        it.now += 1s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.serversOf(50).size());
        // Another run of the same server has said nothing.
        auto record = it.backends.find(second)->record;
        record.isLeaving = false;
        record.startTimeMs = 2;
        it.backends.upsert(record);
        CPPUNIT_ASSERT(it.serversOf(50).contains(second));
    }

    /** Bytes that are no answer of the server, and an answer to an earlier run of it. */
    void forgedStatementIsIgnored()
    {
        StatementFixture it;
        ResponseFields unsignedFields;
        unsignedFields.isLeaving = true;
        unsignedFields.retryAfter = 10s;
        it.answerOne(503, unsignedFields);
        auto exchange = it.make();
        const auto actions = exchange.start(it.now);
        const auto server = it.find<StartAttempt>(actions)->server;
        auto record = it.backends.find(server)->record;
        record.startTimeMs = 2;
        it.backends.upsert(record);
        auto late = it.signedFields();
        late.isLeaving = true;
        exchange.onHead(it.now, it.head(200), late);
        it.now += 10s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.serversOf(100).size());
    }

    void serverThatAsksToWaitGetsNoRequests()
    {
        StatementFixture it;
        auto fields = it.refusal();
        fields.retryAfter = 3s;
        const auto waiting = it.answerOne(503, fields);
        it.now += 2'900ms;
        CPPUNIT_ASSERT(!it.serversOf(50).contains(waiting));
        // A shorter time in a late answer does not end the longer one, and a huge one is bounded.
        it.backends.onRetryAfter(it.now, {waiting, 0, "d1"}, 10ms);
        it.now += 50ms;
        CPPUNIT_ASSERT(!it.serversOf(50).contains(waiting));
        it.now += 60ms;
        CPPUNIT_ASSERT(it.serversOf(50).contains(waiting));
        it.backends.onRetryAfter(it.now, {waiting, 0, "d1"}, 24h);
        it.now += 59s;
        CPPUNIT_ASSERT(!it.serversOf(50).contains(waiting));
        it.now += 2s;
        CPPUNIT_ASSERT(it.serversOf(50).contains(waiting));
    }

    /** At full load, callers that all came back after the same time met each other again. */
    void returnsAfterARefusalAreSpread()
    {
        for (const auto fault : {BackendFault::Full, BackendFault::Stalled}) {
            StatementFixture it;
            for (const char *id : {"a", "b", "c"}) {
                it.backends.onFault(it.now, id, fault);
            }
            auto first = 10'000ms;
            auto last = 0ms;
            for (int n = 0; n < 200; ++n) {
                auto exchange = it.make();
                const auto actions = exchange.start(it.now);
                const auto time = *ExchangeFixture::find<Reply>(actions)->retryAfter;
                first = std::min(first, time);
                last = std::max(last, time);
            }
            // The latency target is 500 ms, and callers honour a third of the 5 s that they have left.
            CPPUNIT_ASSERT(last <= 1'667ms && last > 1'500ms);
            if (fault == BackendFault::Full) {
                CPPUNIT_ASSERT(first >= 400ms && first < 600ms);
            } else {
                CPPUNIT_ASSERT(first >= 1'200ms);
            }
        }
    }

    void callersAreToldWhenTheFirstServerWantsRequests()
    {
        StatementFixture it;
        it.backends.onRetryAfter(it.now, {"a", 0, "d1"}, 5s);
        it.backends.onRetryAfter(it.now, {"b", 0, "d1"}, 800ms);
        it.backends.onRetryAfter(it.now, {"c", 0, "d1"}, 900ms);
        auto exchange = it.make();
        const auto actions = exchange.start(it.now);
        const auto *reply = it.find<Reply>(actions);
        CPPUNIT_ASSERT_EQUAL(503, reply->status);
        CPPUNIT_ASSERT(*reply->retryAfter >= 800ms && *reply->retryAfter <= 1'001ms);
        it.now += 1s;
        CPPUNIT_ASSERT(!it.serversOf(50).contains("a"));
    }

    /** The caller must see that its stream was cut, without the error of the next server in it or a regular end. */
    void errorOfTheNextServerStaysOutOfAStream()
    {
        m_fixture.rule.kind = RouteKind::Stream;
        m_fixture.rule.isResumable = true;
        m_fixture.parts.recordSound(m_fixture.promptParts, suspectTime(m_fixture.now));
        for (const int status : {500, 503, 404, 206, 204}) {
            m_fixture.now += 60s;
            auto exchange = m_fixture.make();
            exchange.start(m_fixture.now);
            exchange.onHead(m_fixture.now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
            CPPUNIT_ASSERT(ExchangeFixture::find<SendHead>(exchange.onBody(m_fixture.now, "id: 1\n\n")) != nullptr);
            const auto next = exchange.onFailure(m_fixture.now, {Verdict::MayHaveRun, BackendFault::Broken, "reset"});
            CPPUNIT_ASSERT(ExchangeFixture::find<StartAttempt>(next) != nullptr);
            const auto fields = status == 503 ? ExchangeFixture::refusal() : ExchangeFixture::signedFields();
            auto actions = exchange.onHead(m_fixture.now, ExchangeFixture::head(status), fields);
            for (auto &&more : {exchange.onBody(m_fixture.now, "id: 2\n\n"), exchange.onEnd(m_fixture.now)}) {
                actions.insert(actions.end(), more.begin(), more.end());
            }
            CPPUNIT_ASSERT(ExchangeFixture::find<SendHead>(actions) == nullptr);
            CPPUNIT_ASSERT(ExchangeFixture::find<SendBody>(actions) == nullptr);
            CPPUNIT_ASSERT(ExchangeFixture::find<EndResponse>(actions) == nullptr);
            CPPUNIT_ASSERT(ExchangeFixture::find<Reply>(actions) == nullptr);
            CPPUNIT_ASSERT(ExchangeFixture::find<AbortResponse>(actions) != nullptr);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeTest);
