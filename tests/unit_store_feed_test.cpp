#include "backend_registry.h"
#include "platform_dialect.h"
#include "store_feed.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against changes of the store being missed, the state being reported as confirmed for too long, and servers
 * being removed too early or kept too long.
 */
class StoreFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreFeedTest);
    CPPUNIT_TEST(readsThenWatches);
    CPPUNIT_TEST(watchesFromRevisionOfFirstPage);
    CPPUNIT_TEST(rereadsWhenHistoryIsGone);
    CPPUNIT_TEST(emptyWatchConfirmsStateUpToItsWait);
    CPPUNIT_TEST(failureBacksOffWithoutConfirming);
    CPPUNIT_TEST(stalePeriodPollsInsteadOfWatching);
    CPPUNIT_TEST(expiredServerIsKeptAfterOutage);
    CPPUNIT_TEST(deletedServerIsRemovedWithoutOutage);
    CPPUNIT_TEST(invalidAnnouncementAddsNoServer);
    CPPUNIT_TEST(serverWithInvalidAnnouncementGetsNoRequests);
    CPPUNIT_TEST(newIncarnationStartsWithCleanState);
    CPPUNIT_TEST(pausedFeedReadsAllAfterwards);
    CPPUNIT_TEST(pausedFeedReadsOnceOnRequest);
    CPPUNIT_TEST_SUITE_END();

    GatewayDialect m_dialect = platformDialect();
    std::mt19937_64 m_random{3};
    TimePoint m_now{1'000s};
    BootTime m_boot{5'000s};

    StoreFeed makeFeed()
    {
        StoreFeedConfig config;
        config.prefix = "servers/";
        return {m_dialect, config};
    }

    static std::string page(const std::string &items, int revision, bool isTruncated = false)
    {
        return R"({"items":[)" + items + R"(],"current_rev":)" + std::to_string(revision) + R"(,"truncated":)"
               + (isTruncated ? "true" : "false") + "}";
    }

    static HttpReply reply(int status, std::string body)
    {
        return {status, {}, std::move(body)};
    }

    static StoreChange snapshot(std::vector<StoreItem> items)
    {
        return {std::move(items), true, {}, {}};
    }

    static StoreChange events(std::vector<StoreItem> items)
    {
        return {std::move(items), false, {}, {}};
    }

    static constexpr const char *itemA = R"({"key":"servers/a","value":"e30=","revision":3,"created":3,"lease":0})";
    static constexpr const char *itemB = R"({"key":"servers/b","value":"e30=","revision":4,"created":4,"lease":0})";

    static StoreItem server(const std::string &id, const std::string &state = "ready", int born = 1)
    {
        return {"servers/" + id,
                R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":")" + state + R"(","born":)"
                    + std::to_string(born) + "}",
                false};
    }

public:
    /** What changed while the feed was paused must not be missed, whatever call was in flight. */
    void pausedFeedReadsAllAfterwards()
    {
        auto feed = makeFeed();
        feed.takeCall(m_now, m_boot);
        feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 7)), m_random);
        m_now += 1s;
        feed.takeCall(m_now, m_boot); // A watch.
        feed.setPaused(true);
        CPPUNIT_ASSERT(!feed.takeCall(m_now + 10s, m_boot));
        feed.setPaused(false);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/kv-range?prefix=servers/"), feed.takeCall(m_now, m_boot)->target);
        // The first page of a read is not continued after a pause either.
        CPPUNIT_ASSERT(!feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 7, true)), m_random));
        feed.setPaused(true);
        feed.setPaused(false);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/kv-range?prefix=servers/"), feed.takeCall(m_now, m_boot)->target);
        const auto change = feed.onAnswer(m_now, m_boot, reply(200, page(itemB, 9)), m_random);
        CPPUNIT_ASSERT(change->isSnapshot && change->items.size() == 1 && change->position.revision == 9);
    }

    void pausedFeedReadsOnceOnRequest()
    {
        auto feed = makeFeed();
        feed.setPaused(true);
        CPPUNIT_ASSERT(!feed.takeCall(m_now, m_boot));
        feed.requestRead();
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot));
        feed.onFailure(m_now, "lost", m_random);
        m_now += 1s;
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot));
        CPPUNIT_ASSERT(feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 7)), m_random));
        CPPUNIT_ASSERT(!feed.takeCall(m_now + 10s, m_boot));
    }

    void readsThenWatches()
    {
        auto feed = makeFeed();
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/kv-range?prefix=servers/"), feed.takeCall(m_now, m_boot)->target);
        CPPUNIT_ASSERT(!feed.takeCall(m_now, m_boot));
        const auto change = feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 7)), m_random);
        CPPUNIT_ASSERT(change->isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), change->items.front().value);
        CPPUNIT_ASSERT(feed.confirmedAt() == m_boot);
        m_now += 1s;
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.find("kv-watch?prefix=servers/&after=7&")
                       != std::string::npos);
        const auto event = feed.onAnswer(
            m_now,
            m_boot,
            reply(200, R"({"events":[{"key":"servers/a","revision":9,"deleted":true}],"current_rev":9})"),
            m_random);
        CPPUNIT_ASSERT(!event->isSnapshot && event->items.front().isDeleted);
        m_now += 1s;
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.find("after=9&") != std::string::npos);
    }

    /** Changes between two pages would be missed if the watch started at the revision of the last page. */
    void watchesFromRevisionOfFirstPage()
    {
        auto feed = makeFeed();
        feed.takeCall(m_now, m_boot);
        CPPUNIT_ASSERT(!feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 5, true)), m_random));
        m_now += 1s;
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.ends_with("&after=servers/a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             feed.onAnswer(m_now, m_boot, reply(200, page(itemB, 8)), m_random)->items.size());
        m_now += 1s;
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.find("after=5&") != std::string::npos);
    }

    void rereadsWhenHistoryIsGone()
    {
        auto feed = makeFeed();
        feed.takeCall(m_now, m_boot);
        feed.onAnswer(m_now, m_boot, reply(200, page(itemA, 7)), m_random);
        m_now += 1s;
        feed.takeCall(m_now, m_boot);
        CPPUNIT_ASSERT(!feed.onAnswer(m_now, m_boot, reply(410, "{}"), m_random));
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.starts_with("/v1/kv-range"));
    }

    void emptyWatchConfirmsStateUpToItsWait()
    {
        auto feed = makeFeed();
        feed.takeCall(m_now, m_boot);
        feed.onAnswer(m_now, m_boot, reply(200, page("", 7)), m_random);
        m_now += 1s;
        feed.takeCall(m_now, m_boot + 1s);
        // The response was delayed, for example by a suspended machine, so only the duration of the wait is confirmed.
        feed.onAnswer(m_now + 30s, m_boot + 31s, reply(200, R"({"events":[],"current_rev":7})"), m_random);
        CPPUNIT_ASSERT(feed.confirmedAt() == m_boot + 3s);
    }

    void failureBacksOffWithoutConfirming()
    {
        auto feed = makeFeed();
        feed.takeCall(m_now, m_boot);
        CPPUNIT_ASSERT(!feed.onAnswer(m_now, m_boot, reply(503, ""), m_random));
        CPPUNIT_ASSERT(!feed.confirmedAt());
        CPPUNIT_ASSERT(feed.failingSince() == m_now);
        CPPUNIT_ASSERT(!feed.takeCall(m_now, m_boot));
        CPPUNIT_ASSERT(feed.takeCall(m_now + 50ms, m_boot).has_value());
        CPPUNIT_ASSERT(!feed.onAnswer(m_now + 50ms, m_boot, reply(200, "not json"), m_random));
        CPPUNIT_ASSERT(feed.failingSince() == m_now);
    }

    void stalePeriodPollsInsteadOfWatching()
    {
        StoreFeedConfig config;
        config.prefix = "op/config";
        config.stalePollPeriod = 2s;
        StoreFeed feed(m_dialect, config);
        CPPUNIT_ASSERT(feed.takeCall(m_now, m_boot)->target.ends_with("&allow_stale=1"));
        CPPUNIT_ASSERT(feed.onAnswer(m_now, m_boot, reply(200, page("", 7)), m_random)->isSnapshot);
        CPPUNIT_ASSERT(!feed.takeCall(m_now + 1'900ms, m_boot));
        CPPUNIT_ASSERT(feed.takeCall(m_now + 2s, m_boot)->target.starts_with("/v1/kv-range"));
    }

    void expiredServerIsKeptAfterOutage()
    {
        BackendTable table("z");
        BackendRegistry registry(m_dialect, table);
        registry.apply(m_now, snapshot({server("a"), server("b")}), 0ms);
        registry.apply(m_now, snapshot({}), 3s);
        registry.tick(m_now + 2s);
        CPPUNIT_ASSERT(table.find("a") != nullptr);
        registry.apply(m_now + 2s, events({server("b")}), 0ms);
        registry.tick(m_now + 3s);
        CPPUNIT_ASSERT(table.find("a") == nullptr);
        CPPUNIT_ASSERT(table.find("b") != nullptr);
    }

    void deletedServerIsRemovedWithoutOutage()
    {
        BackendTable table("z");
        BackendRegistry registry(m_dialect, table);
        registry.apply(m_now, snapshot({server("a"), server("b")}), 0ms);
        registry.apply(m_now, events({server("a", "draining"), {"servers/b", "", true}}), 0ms);
        CPPUNIT_ASSERT(table.find("b") == nullptr);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, m_random));
    }

    void invalidAnnouncementAddsNoServer()
    {
        BackendTable table("z");
        BackendRegistry registry(m_dialect, table);
        for (const char *value : {"",
                                  "\xff\xfe",
                                  "[]",
                                  "{}",
                                  R"({"service":1})",
                                  R"({"service":"s","address":5})",
                                  R"({"service":"s","address":"x","zone":"z","state":"odd"})"}) {
            registry.apply(m_now, events({{"servers/x", value, false}}), 0ms);
            CPPUNIT_ASSERT(table.find("x") == nullptr);
        }
    }

    /** The server may have said in it that it leaves. What is known of its state otherwise stays. */
    void serverWithInvalidAnnouncementGetsNoRequests()
    {
        BackendTable table("z");
        BackendRegistry registry(m_dialect, table);
        registry.apply(m_now, snapshot({server("a")}), 0ms);
        table.onFault(m_now, "a", BackendFault::Unreachable);
        registry.apply(m_now, events({{"servers/a", "junk", false}}), 0ms);
        CPPUNIT_ASSERT(table.find("a") != nullptr);
        m_now += 10s;
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, m_random));
        CPPUNIT_ASSERT(table.isDown(m_now, "s"));
        registry.apply(m_now, events({server("a")}), 0ms);
        CPPUNIT_ASSERT(table.choose(m_now, "s", {}, m_random).has_value());
        CPPUNIT_ASSERT_EQUAL(1U, table.find("a")->failures);
    }

    void newIncarnationStartsWithCleanState()
    {
        BackendTable table("z");
        BackendRegistry registry(m_dialect, table);
        registry.apply(m_now, snapshot({server("a")}), 0ms);
        table.onFault(m_now, "a", BackendFault::Unreachable);
        CPPUNIT_ASSERT(!table.choose(m_now, "s", {}, m_random));
        registry.apply(m_now, events({server("a", "ready", 2)}), 0ms);
        CPPUNIT_ASSERT(table.choose(m_now, "s", {}, m_random).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFeedTest);
