#include "platform_dialect.h"
#include "store_feed.h"
#include "store_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace turmericline;
using namespace std::chrono_literals;
using fakes::StoreModel;

/** Guards against facts that are missed, joined from two eras, or taken for current, when a store comes back from a copy. */
class StoreEraTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreEraTest);
    CPPUNIT_TEST(watchThatFindsNewEraIsFollowedByRead);
    CPPUNIT_TEST(unknownRevisionIsFollowedByRead);
    CPPUNIT_TEST(readThatFindsNewEraIsUsed);
    CPPUNIT_TEST(pagesOfTwoErasAreNotJoined);
    CPPUNIT_TEST(answerOfEarlierEraChangesNothing);
    CPPUNIT_TEST(malformedOrMissingEraChangesNothing);
    CPPUNIT_TEST(storeWithoutErasIsOneEra);
    CPPUNIT_TEST(lowerEraOfAnotherStoreIsAccepted);
    CPPUNIT_TEST(watchIsVoidOnceAnotherFeedKnowsOfNewEra);
    CPPUNIT_TEST(wrongEraOfAnotherFeedCausesNoBusyLoop);
    CPPUNIT_TEST(readsOfNewEraAreSpread);
    CPPUNIT_TEST(stateIsNotConfirmedBeforeNewEraHasSettled);
    CPPUNIT_TEST(rejectionForRateIsNoOutage);
    CPPUNIT_TEST(firstStateAfterOutageIsNotConfirmedBeforeItHasSettled);
    CPPUNIT_TEST_SUITE_END();

    static inline const std::string prefix = "servers/";

    GatewayDialect m_dialect = platformDialect();
    std::mt19937_64 m_random{3};
    TimePoint m_now{1'000s};
    StoreModel m_store;
    std::unique_ptr<StoreFeed> m_feed;

    BootTime bootNow() const
    {
        return BootTime(m_now.time_since_epoch());
    }

    void makeFeed(std::chrono::milliseconds settleTime = 0ms)
    {
        StoreFeedConfig config;
        config.prefix = prefix;
        config.settleTime = settleTime;
        m_feed = std::make_unique<StoreFeed>(m_dialect, config);
    }

    /** Starts the next call, as soon as it is due, and returns its target. */
    std::string takeCall()
    {
        for (;;) {
            if (const auto call = m_feed->takeCall(m_now, bootNow())) {
                return call->target;
            }
            m_now += 10ms;
        }
    }

    std::optional<StoreChange> answer(const HttpReply &reply)
    {
        return m_feed->onAnswer(m_now, bootNow(), reply, m_random);
    }

    /** Lets the feed read item "a" and then start a watch. */
    void readAndWatch()
    {
        m_store.put(prefix + "a", "1");
        takeCall();
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->isSnapshot);
        takeCall();
    }

    static bool isRead(const std::string &target)
    {
        return target.find("kv-range") != std::string::npos && target.find("after=") == std::string::npos;
    }

public:
    void setUp() override
    {
        m_store = {};
        makeFeed();
    }

    void watchThatFindsNewEraIsFollowedByRead()
    {
        const auto copy = m_store;
        readAndWatch();
        const auto before = m_feed->position();
        m_store.restore(copy);
        m_store.put(prefix + "b", "1");
        m_store.put(prefix + "c", "1");
        CPPUNIT_ASSERT(m_store.revision() > before.revision);
        CPPUNIT_ASSERT(!answer(*m_store.watch(prefix, before.revision, true)));
        CPPUNIT_ASSERT(!m_feed->failingSince());
        CPPUNIT_ASSERT(isRead(takeCall()));
        const auto calledAt = bootNow();
        m_now += 100ms;
        const auto change = answer(m_store.range(prefix));
        CPPUNIT_ASSERT(change->isSnapshot);
        CPPUNIT_ASSERT(m_feed->confirmedAt() == calledAt);
        CPPUNIT_ASSERT(change->replaced == before);
        CPPUNIT_ASSERT(change->position == (StorePosition{2, m_store.revision()}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, change->items.size());
        takeCall();
        m_store.put(prefix + "d", "1");
        CPPUNIT_ASSERT(!answer(*m_store.watch(prefix, change->position.revision, false))->replaced);
    }

    void unknownRevisionIsFollowedByRead()
    {
        const auto copy = m_store;
        readAndWatch();
        const auto before = m_feed->position();
        m_store.restore(copy);
        const auto gone = *m_store.watch(prefix, before.revision, false);
        CPPUNIT_ASSERT_EQUAL(410, gone.status);
        CPPUNIT_ASSERT(!answer(gone));
        CPPUNIT_ASSERT(isRead(takeCall()));
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->replaced == before);
    }

    void readThatFindsNewEraIsUsed()
    {
        readAndWatch();
        const auto before = m_feed->position();
        m_feed->onFailure(m_now, "cut", m_random);
        CPPUNIT_ASSERT(isRead(takeCall()));
        m_store.restore(m_store);
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->replaced == before);
    }

    void pagesOfTwoErasAreNotJoined()
    {
        m_store.put(prefix + "a", "1");
        const auto copy = m_store;
        m_store.put(prefix + "b", "1");
        takeCall();
        CPPUNIT_ASSERT(!answer(m_store.range(prefix, "", 1)));
        CPPUNIT_ASSERT(!isRead(takeCall()));
        m_store.restore(copy);
        CPPUNIT_ASSERT(!answer(m_store.range(prefix, prefix + "a", 1)));
        CPPUNIT_ASSERT(isRead(takeCall()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer(m_store.range(prefix))->items.size());
    }

    void answerOfEarlierEraChangesNothing()
    {
        readAndWatch();
        const auto earlier = m_store;
        m_store.restore(earlier);
        answer(*m_store.watch(prefix, earlier.revision(), true));
        takeCall();
        const auto position = answer(m_store.range(prefix))->position;
        const auto confirmedAt = m_feed->confirmedAt();
        takeCall();
        CPPUNIT_ASSERT(!answer(*earlier.watch(prefix, 0, false)));
        CPPUNIT_ASSERT(m_feed->failingSince().has_value());
        CPPUNIT_ASSERT(isRead(takeCall()));
        CPPUNIT_ASSERT(!answer(earlier.range(prefix)));
        CPPUNIT_ASSERT(m_feed->position() == position);
        CPPUNIT_ASSERT(m_feed->confirmedAt() == confirmedAt);
        CPPUNIT_ASSERT_EQUAL(std::string("the answer is of era 1, the current one is 2"), m_feed->lastError());
    }

    void malformedOrMissingEraChangesNothing()
    {
        readAndWatch();
        const auto position = m_feed->position();
        for (const char *era : {"", "x", "-1", "1.5", "1 ", "99999999999999999999"}) {
            CPPUNIT_ASSERT(!answer({200, {{"Store-Era", era}}, m_store.range(prefix).body}));
            CPPUNIT_ASSERT(m_feed->lastError().starts_with("the era is not a number"));
            CPPUNIT_ASSERT(isRead(takeCall()));
        }
        auto silent = m_store;
        silent.setStatesEra(false);
        CPPUNIT_ASSERT(!answer(silent.range(prefix)));
        CPPUNIT_ASSERT(m_feed->lastError().starts_with("the answer states no era"));
        CPPUNIT_ASSERT(m_feed->position() == position);
        takeCall();
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->isSnapshot);
    }

    void storeWithoutErasIsOneEra()
    {
        m_store.setStatesEra(false);
        readAndWatch();
        m_store.put(prefix + "b", "1");
        CPPUNIT_ASSERT(!answer(*m_store.watch(prefix, m_feed->position().revision, false))->replaced);
        m_store.setStatesEra(true);
        takeCall();
        CPPUNIT_ASSERT(!answer(*m_store.watch(prefix, m_feed->position().revision, true)));
        takeCall();
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->replaced.has_value());
    }

    void lowerEraOfAnotherStoreIsAccepted()
    {
        m_store.restore(m_store);
        readAndWatch();
        m_feed->onStoreReplaced(m_now, m_random);
        takeCall();
        CPPUNIT_ASSERT(answer(StoreModel().range(prefix))->replaced.has_value());
    }

    /** A watch that the store kept open over the restore misses what was written again before it was looked at. */
    void watchIsVoidOnceAnotherFeedKnowsOfNewEra()
    {
        CPPUNIT_ASSERT(!m_feed->onKnownEra(m_now, 2, m_random));
        readAndWatch();
        CPPUNIT_ASSERT(!m_feed->onKnownEra(m_now, std::nullopt, m_random));
        CPPUNIT_ASSERT(!m_feed->onKnownEra(m_now, 1, m_random));
        CPPUNIT_ASSERT(m_feed->onKnownEra(m_now, 2, m_random));
        CPPUNIT_ASSERT(!m_feed->onKnownEra(m_now, 2, m_random));
        CPPUNIT_ASSERT(isRead(takeCall()));
        m_store.restore(m_store);
        CPPUNIT_ASSERT(answer(m_store.range(prefix))->replaced.has_value());
    }

    void wrongEraOfAnotherFeedCausesNoBusyLoop()
    {
        constexpr StoreEra wrongEra = 1'000'000;
        readAndWatch();
        const auto callsBefore = m_feed->callCount();
        const auto end = m_now + 3s;
        while (m_now < end) {
            m_feed->onKnownEra(m_now, wrongEra, m_random);
            takeCall();
            m_now += 10ms;
            answer(m_store.range(prefix));
        }
        const auto calls = static_cast<std::int64_t>(m_feed->callCount() - callsBefore);
        CPPUNIT_ASSERT(calls <= 3s / StoreFeedConfig().minCallPeriod + 1);
    }

    /** Without it, all gateways of a large fleet would read in the same moment. */
    void readsOfNewEraAreSpread()
    {
        constexpr auto spread = 1'000ms;
        std::set<TimePoint> starts;
        for (int i = 0; i < 100; ++i) {
            setUp();
            m_feed->setRereadSpread(spread);
            readAndWatch();
            m_store.restore(m_store);
            const auto foundAt = m_now;
            answer(*m_store.watch(prefix, 0, true));
            takeCall();
            CPPUNIT_ASSERT(m_now <= foundAt + spread);
            starts.insert(m_now);
        }
        CPPUNIT_ASSERT(starts.size() > 50);
    }

    /** The copy may lack a change that was acknowledged, and it takes a while until it is written again. */
    void stateIsNotConfirmedBeforeNewEraHasSettled()
    {
        constexpr auto settleTime = 2'300ms;
        makeFeed(settleTime);
        readAndWatch();
        const auto confirmedAt = m_feed->confirmedAt();
        m_store.restore(m_store);
        m_now += 100ms;
        const auto foundAt = m_now;
        answer(*m_store.watch(prefix, 0, true));
        takeCall();
        CPPUNIT_ASSERT(answer(m_store.range(prefix)).has_value());
        CPPUNIT_ASSERT(m_feed->confirmedAt() == confirmedAt);
        const auto target = takeCall();
        m_store.put(prefix + "b", "1");
        answer(*m_store.watch(prefix, m_feed->position().revision, false));
        CPPUNIT_ASSERT(m_feed->confirmedAt() == confirmedAt);
        takeCall();
        m_now = foundAt + settleTime;
        answer(*m_store.watch(prefix, m_feed->position().revision, true));
        CPPUNIT_ASSERT(m_feed->confirmedAt() >= BootTime((foundAt + settleTime).time_since_epoch()));
        CPPUNIT_ASSERT(takeCall().ends_with("wait_ms=2000"));
    }

    /** Otherwise many processes that start together would not be ready for the settle time. */
    void rejectionForRateIsNoOutage()
    {
        makeFeed(2'300ms);
        takeCall();
        answer({429, {}, ""});
        takeCall();
        CPPUNIT_ASSERT(answer(m_store.range(prefix)).has_value());
        CPPUNIT_ASSERT(m_feed->confirmedAt().has_value());
    }

    /** A process that starts while the store is away does not know its former era. */
    void firstStateAfterOutageIsNotConfirmedBeforeItHasSettled()
    {
        constexpr auto settleTime = 2'300ms;
        makeFeed(settleTime);
        m_store.setStatesEra(false);
        takeCall();
        answer({503, {}, ""});
        takeCall();
        const auto backAt = m_now;
        CPPUNIT_ASSERT(answer(m_store.range(prefix)).has_value());
        while (m_now < backAt + settleTime) {
            CPPUNIT_ASSERT(!m_feed->confirmedAt());
            takeCall();
            m_now = std::min(m_now + 2s, backAt + settleTime);
            answer(*m_store.watch(prefix, m_feed->position().revision, true));
        }
        CPPUNIT_ASSERT(m_feed->confirmedAt().has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTest);
