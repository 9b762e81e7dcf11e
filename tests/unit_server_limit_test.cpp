#include "exchange_fixture.h"
#include "server_limit_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards the order of what servers state about their limits, and what requests do without a permit. */
class ServerLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitTest);
    CPPUNIT_TEST(lowerLimitCountsAtOnce);
    CPPUNIT_TEST(lateAnswerDoesNotRaiseALimit);
    CPPUNIT_TEST(lateAnswerDoesNotEndALimit);
    CPPUNIT_TEST(reportsInAnyOrderGiveTheLatestLimit);
    CPPUNIT_TEST(passedOnReportDoesNotLookNewer);
    CPPUNIT_TEST(newRunOfAServerHasNoLimit);
    CPPUNIT_TEST(invalidLimitChangesNothing);
    CPPUNIT_TEST(zeroEndsByAHealthCheck);
    CPPUNIT_TEST(suspensionMakesStatementsOlder);
    CPPUNIT_TEST(ownerThatWakesGrantsNothingAtOnce);
    CPPUNIT_TEST(unreachedServerCostsNoPermit);
    CPPUNIT_TEST(othersTakeWhatHasNoPermit);
    CPPUNIT_TEST(requestWithoutRoomIsRefusedAtOnce);
    CPPUNIT_TEST(returnsToLimitedServersAreSpread);
    CPPUNIT_TEST(permitGoesToTheServerItWasAskedFor);
    CPPUNIT_TEST(requestWithoutAPermitGoesElsewhere);
    CPPUNIT_TEST(callerMayLeaveWhileItWaits);
    CPPUNIT_TEST(failureIsNotRepeatedWithoutAPermit);
    CPPUNIT_TEST(restartedOwnerGoesOn);
    CPPUNIT_TEST(stoppingOwnerIsReplacedAtOnce);
    CPPUNIT_TEST(gatewayThatKnowsNoOtherHasASmallShare);
    CPPUNIT_TEST_SUITE_END();

    ExchangeFixture m_fixture;
    ServerLimits m_limits{1};
    const ServerIncarnation m_server{"a", 0, "d1"};
    const std::string m_address = "10.0.0.1:7000";

    TimePoint now() const
    {
        return m_fixture.now;
    }

    /** The server states @p limit in the answer to a request that was sent @p sentAgo ago. */
    void state(std::optional<double> limit, std::chrono::milliseconds sentAgo = 0ms)
    {
        m_limits.onStatement(now(), now() - sentAgo, {"a", 0, limit});
    }

    std::optional<double> limit() const
    {
        const auto basis = m_limits.basis(now(), "a");
        return basis ? std::optional(basis->limit) : std::nullopt;
    }

    /** Makes another gateway, @p owner, the one that grants permits for server a of the fixture. */
    void limitServer(const std::string &id, const std::string &owner, double perSecond = 1)
    {
        auto &limits = m_fixture.limits;
        limits.setOwnAddress(m_address);
        limits.setFleet({9, true, true});
        limits.merge(now(), {{id, 0, perSecond}, 0ms, 0ms, owner, 1});
    }

    void answer(const std::string &server, bool isGranted, std::chrono::milliseconds wait)
    {
        const auto report = *m_fixture.limits.reportOf(now(), server);
        m_fixture.limits.onReply(now(), now(), server, {isGranted, wait, report});
    }

    /** Expects that @p n requests are refused at once; returns the shortest and the longest Retry-After. */
    std::pair<std::chrono::milliseconds, std::chrono::milliseconds> refuse(int n)
    {
        std::pair times(std::chrono::milliseconds::max(), 0ms);
        for (int i = 0; i < n; ++i) {
            auto exchange = m_fixture.make();
            const auto actions = exchange.start(now());
            const auto *reply = ExchangeFixture::find<Reply>(actions);
            CPPUNIT_ASSERT(reply != nullptr && reply->status == 503 && reply->retryAfter);
            CPPUNIT_ASSERT_EQUAL(std::string("all servers are at their limits"), reply->reason);
            CPPUNIT_ASSERT(!exchange.summary().limitDenials.empty());
            times.first = std::min(times.first, *reply->retryAfter);
            times.second = std::max(times.second, *reply->retryAfter);
        }
        return times;
    }

    static std::string startedAt(const ExchangeActions &actions)
    {
        const auto *start = ExchangeFixture::find<StartAttempt>(actions);
        return start == nullptr ? std::string() : start->server;
    }

public:
    void lowerLimitCountsAtOnce()
    {
        state(5);
        m_fixture.now += 10ms;
        state(2, 300ms);
        CPPUNIT_ASSERT(limit() == 2.0);
    }

    void lateAnswerDoesNotRaiseALimit()
    {
        state(1);
        m_fixture.now += 1s;
        state(5, 1'001ms);
        CPPUNIT_ASSERT(limit() == 1.0);
        state(5, 999ms);
        CPPUNIT_ASSERT(limit() == 5.0);
    }

    void lateAnswerDoesNotEndALimit()
    {
        state(1);
        m_fixture.now += 1s;
        state(std::nullopt, 1'001ms);
        CPPUNIT_ASSERT(limit() == 1.0);
        state(std::nullopt, 10ms);
        CPPUNIT_ASSERT(!limit());
        CPPUNIT_ASSERT(m_limits.take(now(), m_server).verdict == PermitVerdict::Unlimited);
        // A late report of the limit does not bring it back.
        m_limits.merge(now(), {{"a", 0, 1.0}, 1'500ms, 1'200ms, "", 0});
        CPPUNIT_ASSERT(!limit());
    }

    void reportsInAnyOrderGiveTheLatestLimit()
    {
        // Limits of 3, 1 and 4, stated one after the other to other gateways.
        const std::vector<LimitReport> reports{{{"a", 0, 3.0}, 9'100ms, 9'000ms, "", 0},
                                               {{"a", 0, 1.0}, 6'100ms, 6'000ms, "", 0},
                                               {{"a", 0, 4.0}, 3'100ms, 3'000ms, "", 0}};
        std::vector<std::size_t> order{0, 1, 2};
        do {
            ServerLimits limits(1);
            for (const auto i : order) {
                limits.merge(now(), reports[i]);
                limits.merge(now(), reports[i]);
            }
            CPPUNIT_ASSERT(limits.basis(now(), "a")->limit == 4.0);
        } while (std::next_permutation(order.begin(), order.end()));
    }

    /** Otherwise two gateways that tell each other of a limit would never take a higher one. */
    void passedOnReportDoesNotLookNewer()
    {
        state(1);
        const auto statedAt = now();
        for (int n = 0; n < 100; ++n) {
            m_fixture.now += 20ms;
            auto report = m_limits.allReports(now(), 1).front();
            m_fixture.now += 10ms;
            m_limits.merge(now(), report);
        }
        CPPUNIT_ASSERT(m_limits.basis(now(), "a")->age >= now() - statedAt - 500ms);
    }

    void newRunOfAServerHasNoLimit()
    {
        state(0);
        CPPUNIT_ASSERT(m_limits.take(now(), m_server).verdict == PermitVerdict::Denied);
        CPPUNIT_ASSERT(m_limits.take(now(), {"a", 5, "d1"}).verdict == PermitVerdict::Unlimited);
        m_limits.onStatement(now(), now(), {"a", 5, 7.0});
        state(2);
        CPPUNIT_ASSERT(limit() == 7.0);
    }

    void invalidLimitChangesNothing()
    {
        state(2);
        CPPUNIT_ASSERT(m_limits.onInvalidStatement("a"));
        CPPUNIT_ASSERT(!m_limits.onInvalidStatement("a"));
        CPPUNIT_ASSERT(limit() == 2.0);
        state(2);
        CPPUNIT_ASSERT(m_limits.onInvalidStatement("a"));
    }

    void zeroEndsByAHealthCheck()
    {
        state(0);
        CPPUNIT_ASSERT(m_limits.take(now(), m_server).verdict == PermitVerdict::Denied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_limits.takeServersToCheck(now()).size());
        CPPUNIT_ASSERT(m_limits.takeServersToCheck(now()).empty());
        m_fixture.now += 5s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_limits.takeServersToCheck(now()).size());
        m_limits.onHealthCheck(now(), now() - 10ms, {"a", 0, 0.0});
        CPPUNIT_ASSERT(limit() == 0.0);
        // Without a limit in the answer, a few requests find out.
        m_fixture.now += 5s;
        m_limits.onHealthCheck(now(), now() - 10ms, {"a", 0, std::nullopt});
        CPPUNIT_ASSERT(limit() == 1.0);
        CPPUNIT_ASSERT(m_limits.takeServersToCheck(now()).empty());
        m_fixture.now += 5s;
        CPPUNIT_ASSERT(m_limits.take(now(), m_server).verdict == PermitVerdict::Granted);
        state(std::nullopt, 10ms);
        CPPUNIT_ASSERT(!limit());
    }

    void suspensionMakesStatementsOlder()
    {
        state(1);
        m_limits.onStandstill(now(), 30s);
        CPPUNIT_ASSERT(m_limits.basis(now(), "a")->age >= 30s);
    }

    /** Another gateway may have taken its place. */
    void ownerThatWakesGrantsNothingAtOnce()
    {
        m_limits.setOwnAddress(m_address);
        m_limits.setFleet({9, true, true});
        state(50);
        m_fixture.now += 5s;
        const auto report = *m_limits.reportOf(now(), "a");
        CPPUNIT_ASSERT(m_limits.onAsk(now(), report).isGranted);
        m_limits.onStandstill(now(), 0s);
        m_fixture.now += 900ms;
        CPPUNIT_ASSERT(!m_limits.onAsk(now(), report).isGranted);
        m_fixture.now += 200ms;
        CPPUNIT_ASSERT(m_limits.onAsk(now(), report).isGranted);
    }

    void unreachedServerCostsNoPermit()
    {
        for (const char *id : {"a", "b", "c"}) {
            limitServer(id, "10.0.0.2:7000");
        }
        auto exchange = m_fixture.make();
        auto actions = exchange.start(now());
        const auto server = ExchangeFixture::find<AskPermit>(actions)->server;
        answer(server, true, 0ms);
        CPPUNIT_ASSERT_EQUAL(server, startedAt(exchange.onPermitAnswer(now())));
        exchange.onFailure(now(), {Verdict::NotRun, BackendFault::Unreachable, "refused"});
        CPPUNIT_ASSERT(m_fixture.limits.take(now(), {server, 0, "d1"}).verdict == PermitVerdict::Granted);
    }

    void othersTakeWhatHasNoPermit()
    {
        limitServer("a", m_address);
        for (int n = 0; n < 100; ++n) {
            auto exchange = m_fixture.make();
            const auto server = startedAt(exchange.start(now()));
            CPPUNIT_ASSERT(!server.empty() && server != "a");
        }
        m_fixture.now += 10s;
        std::size_t limited = 0;
        for (int n = 0; n < 100; ++n) {
            auto exchange = m_fixture.make();
            limited += startedAt(exchange.start(now())) == "a" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, limited);
    }

    void requestWithoutRoomIsRefusedAtOnce()
    {
        for (const char *id : {"a", "b", "c"}) {
            limitServer(id, m_address, 0.5);
        }
        // There is room after 2.4 s, but callers honour a third of the 5 s that they have left.
        const auto [first, last] = refuse(100);
        CPPUNIT_ASSERT(first >= 1'500ms && last <= 1'667ms);
    }

    /** Otherwise all callers come back for the one permit that there is by then. */
    void returnsToLimitedServersAreSpread()
    {
        for (const char *id : {"a", "b", "c"}) {
            limitServer(id, m_address, 2);
        }
        // There is room after 0.6 s.
        const auto [first, last] = refuse(200);
        CPPUNIT_ASSERT(first >= 500ms && first < 800ms);
        CPPUNIT_ASSERT(last > 1'500ms && last <= 1'667ms);
    }

    void permitGoesToTheServerItWasAskedFor()
    {
        limitServer("a", "10.0.0.2:7000");
        std::size_t asked = 0;
        for (int n = 0; n < 50; ++n) {
            auto exchange = m_fixture.make();
            const auto actions = exchange.start(now());
            if (ExchangeFixture::find<AskPermit>(actions) == nullptr) {
                continue;
            }
            ++asked;
            answer("a", true, 0ms);
            CPPUNIT_ASSERT_EQUAL(std::string("a"), startedAt(exchange.onPermitAnswer(now())));
            m_fixture.backends.onEnd("a");
        }
        CPPUNIT_ASSERT(asked > 5);
    }

    void requestWithoutAPermitGoesElsewhere()
    {
        for (const char *id : {"a", "b"}) {
            limitServer(id, "10.0.0.2:7000");
        }
        m_fixture.backends.onFault(now(), "c", BackendFault::Full);
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(now());
        const auto server = ExchangeFixture::find<AskPermit>(actions)->server;
        m_fixture.now += 150ms;
        m_fixture.limits.onReply(now(), now(), server, {false, 700ms, *m_fixture.limits.reportOf(now(), server)});
        m_fixture.backends.onNoPermit({server == "a" ? "b" : "a", 0, "d1"}, now() + 1s);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), startedAt(exchange.onPermitAnswer(now())));
        CPPUNIT_ASSERT(exchange.summary().limitDenials.front().wait == 700ms);
    }

    void callerMayLeaveWhileItWaits()
    {
        for (const char *id : {"a", "b", "c"}) {
            limitServer(id, "10.0.0.2:7000");
        }
        auto exchange = m_fixture.make();
        const auto actions = exchange.start(now());
        const auto server = ExchangeFixture::find<AskPermit>(actions)->server;
        exchange.onCallerDisconnect(now());
        answer(server, true, 0ms);
        CPPUNIT_ASSERT(exchange.onPermitAnswer(now()).empty());
        CPPUNIT_ASSERT(exchange.summary().verdict == Verdict::NotRun);
        // The permit can be spent by another request, for a short time.
        const ServerIncarnation other{server, 0, "d1"};
        m_fixture.now += 150ms;
        CPPUNIT_ASSERT(m_fixture.limits.take(now(), other).verdict == PermitVerdict::Granted);
        answer(server, true, 0ms);
        m_fixture.now += 201ms;
        CPPUNIT_ASSERT(m_fixture.limits.take(now(), other).verdict == PermitVerdict::Ask);
    }

    /** The caller gets the answer of the server, instead of losing it to a repeat that cannot be sent. */
    void failureIsNotRepeatedWithoutAPermit()
    {
        m_fixture.rule.kind = RouteKind::Safe;
        auto exchange = m_fixture.make();
        const auto server = startedAt(exchange.start(now()));
        for (const char *id : {"a", "b", "c"}) {
            limitServer(id, m_address);
        }
        auto actions = exchange.onHead(now(), ExchangeFixture::head(500), ExchangeFixture::signedFields());
        CPPUNIT_ASSERT(startedAt(actions).empty() && ExchangeFixture::find<StopAttempt>(actions) == nullptr);
        actions = exchange.onEnd(now());
        CPPUNIT_ASSERT_EQUAL(500, ExchangeFixture::find<SendHead>(actions)->status);
    }

    /** It has forgotten the limit, and learns from what it is asked that it grants the permits. */
    void restartedOwnerGoesOn()
    {
        m_limits.setOwnAddress(m_address);
        m_limits.setFleet({9, true, true});
        const LimitReport report{{"a", 0, 10.0}, 100ms, 50ms, m_address, 3};
        CPPUNIT_ASSERT(!m_limits.onAsk(now(), report).isGranted);
        m_fixture.now += 1s;
        const auto reply = m_limits.onAsk(now(), report);
        CPPUNIT_ASSERT(reply.isGranted && reply.report.owner == m_address && reply.report.term == 3);
    }

    void stoppingOwnerIsReplacedAtOnce()
    {
        m_limits.setOwnAddress(m_address);
        m_limits.setFleet({9, true, true});
        state(10);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_limits.ownedCount());
        m_fixture.now += 2s;
        m_limits.handOver("10.0.0.2:7000");
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_limits.ownedCount());
        CPPUNIT_ASSERT(m_limits.take(now(), m_server).verdict == PermitVerdict::Ask);
        ServerLimits successor(2);
        successor.setOwnAddress("10.0.0.2:7000");
        successor.setFleet({9, true, true});
        CPPUNIT_ASSERT(!successor.onAsk(now(), *m_limits.reportOf(now(), "a")).isGranted);
        m_fixture.now += 200ms;
        CPPUNIT_ASSERT(successor.onAsk(now(), *m_limits.reportOf(now(), "a")).isGranted);
    }

    void gatewayThatKnowsNoOtherHasASmallShare()
    {
        m_limits.setOwnAddress(m_address);
        m_limits.setFleet({100, false, false});
        state(100);
        std::size_t granted = 0;
        for (int n = 0; n < 10'000; ++n) {
            m_fixture.now += 10ms;
            granted += m_limits.take(now(), m_server).verdict == PermitVerdict::Granted ? 1 : 0;
        }
        // A tenth of the limit, divided by 100 gateways, over 100 s.
        CPPUNIT_ASSERT(granted >= 9 && granted <= 11);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitTest);
