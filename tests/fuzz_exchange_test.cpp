#include "exchange_fixture.h"
#include "fuzz_property.h"

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

/** Events that the test draws at random. */
enum class Event {
    Unreached,
    Reset,
    Refusal,
    Success,
    Failure,
    Unsigned,
    Body,
    End,
    Tick,
    CallerGone,
};

/** Tracks what the servers did with the request, and checks each action of the exchange against it. */
class Oracle
{
public:
    explicit Oracle(const ExchangeFixture &fixture)
        : m_fixture(fixture)
    {
    }

    void check(const ExchangeActions &actions)
    {
        for (const auto &it : actions) {
            RC_ASSERT(!m_isAnswered);
            if (const auto *start = std::get_if<StartAttempt>(&it)) {
                RC_ASSERT(!m_isRunning);
                RC_ASSERT(!m_mayHaveRun || m_fixture.rule.isIdempotent());
                RC_ASSERT(start->fields.deadline <= 5'000ms);
                m_isRunning = true;
                ++m_attempts;
            } else if (std::holds_alternative<StopAttempt>(it)) {
                // An attempt that is cancelled before the server refused it may have run.
                m_mayHaveRun = m_mayHaveRun || m_isRunning;
                m_isRunning = false;
            } else if (const auto *reply = std::get_if<Reply>(&it)) {
                RC_ASSERT(!m_hasHead);
                RC_ASSERT(reply->status != 503 || !m_mayHaveRun);
                m_isAnswered = true;
            } else if (std::holds_alternative<SendHead>(it)) {
                RC_ASSERT(!m_hasHead);
                m_hasHead = true;
            } else if (std::holds_alternative<SendBody>(it)) {
                RC_ASSERT(m_hasHead);
            } else {
                RC_ASSERT(m_hasHead);
                m_isAnswered = true;
            }
        }
    }

    /** The server ended the attempt. */
    void onAttemptEnd(bool mayHaveRun, bool hasArrived)
    {
        m_isRunning = false;
        m_mayHaveRun = m_mayHaveRun || mayHaveRun;
        m_arrivals += hasArrived ? 1 : 0;
        RC_ASSERT(m_arrivals <= m_fixture.rule.maxAttempts);
    }

    bool isRunning() const
    {
        return m_isRunning;
    }

    bool isAnswered() const
    {
        return m_isAnswered;
    }

private:
    const ExchangeFixture &m_fixture;
    bool m_isRunning = false;
    bool m_mayHaveRun = false;
    bool m_hasHead = false;
    bool m_isAnswered = false;
    unsigned m_attempts = 0;
    unsigned m_arrivals = 0;
};

} // namespace

/**
 * Guards against orders of events that make the exchange resend an unsafe request after it may have run, send two
 * responses, or answer 503 (not run) after the request may have run.
 */
class ExchangeFuzz : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExchangeFuzz);
    CPPUNIT_TEST(guaranteesHoldForAnyEventOrder);
    CPPUNIT_TEST_SUITE_END();

    static ExchangeActions applyEvent(Exchange &exchange, Oracle &oracle, TimePoint now, Event event)
    {
        switch (event) {
        case Event::Unreached:
            oracle.onAttemptEnd(false, false);
            return exchange.onFailure(now, {Verdict::NotRun, BackendFault::Unreachable, "no connection"});
        case Event::Reset:
            oracle.onAttemptEnd(true, true);
            return exchange.onFailure(now, {Verdict::MayHaveRun, BackendFault::Unreachable, "reset"});
        case Event::Refusal:
            oracle.onAttemptEnd(false, true);
            return exchange.onHead(now, ExchangeFixture::head(503), ExchangeFixture::refusal());
        case Event::Success:
            return exchange.onHead(now, ExchangeFixture::head(200), ExchangeFixture::signedFields());
        case Event::Failure:
            return exchange.onHead(now, ExchangeFixture::head(500), ExchangeFixture::signedFields());
        case Event::Unsigned:
            return exchange.onHead(now, ExchangeFixture::head(200), {});
        case Event::Body:
            return exchange.onBody(now, "id: 1\ndata: x\n\n");
        case Event::End:
            oracle.onAttemptEnd(true, true);
            return exchange.onEnd(now);
        case Event::Tick:
            return exchange.onTick(now);
        case Event::CallerGone:
            return exchange.onCallerDisconnect(now);
        }
        return {};
    }

public:
    void guaranteesHoldForAnyEventOrder()
    {
        const auto failure = counterexample("promises hold", fuzzParams(60, 3'000), [] {
            ExchangeFixture fixture;
            fixture.rule.kind = *rc::gen::element(RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream);
            fixture.rule.isResumable = *rc::gen::arbitrary<bool>();
            fixture.rule.maxAttempts = *rc::gen::inRange(1U, 4U);
            auto exchange = fixture.make();
            Oracle oracle(fixture);
            oracle.check(exchange.start(fixture.now));
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
            for (const auto step : steps) {
                fixture.now += std::chrono::milliseconds(step % 97 * 4);
                auto event = static_cast<Event>(step % 10);
                const bool needsAttempt = event != Event::Tick && event != Event::CallerGone;
                if (exchange.isEnded() || (needsAttempt && !oracle.isRunning())) {
                    event = Event::Tick;
                }
                // The caller disconnects rarely, so that most cases reach later events.
                if (event == Event::CallerGone && step > 100) {
                    event = Event::Tick;
                }
                oracle.check(applyEvent(exchange, oracle, fixture.now, event));
            }
            if (!exchange.isEnded()) {
                oracle.check(exchange.onTick(fixture.now + 10s));
            }
            RC_ASSERT(exchange.isEnded());
            for (const char *id : {"a", "b", "c"}) {
                RC_ASSERT(fixture.backends.find(id)->inFlight == 0U);
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExchangeFuzz);
