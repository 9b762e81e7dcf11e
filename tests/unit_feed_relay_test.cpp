#include "feed_follower.h"
#include "feed_log.h"
#include "feed_order.h"
#include "feed_relay_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace turmericline;
using namespace std::chrono_literals;

/**
 * Guards against hundreds of gateways that each read the same from the store, and against facts of another gateway that
 * are used for longer than own ones would be.
 */
class FeedRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FeedRelayTest);
    CPPUNIT_TEST(allGatewaysOfADomainChooseOneReader);
    CPPUNIT_TEST(gatewaysOfSmallDomainsReadThemselves);
    CPPUNIT_TEST(silentReaderIsLeftAtOnce);
    CPPUNIT_TEST(readerWithOldFactsIsLeftAtOnce);
    CPPUNIT_TEST(followedGatewayReadsItself);
    CPPUNIT_TEST(transitDoesNotMakeFactsSeemRecent);
    CPPUNIT_TEST(logSendsOnlyWhatIsMissing);
    CPPUNIT_TEST(logOfANewEraIsSentAsAWhole);
    CPPUNIT_TEST(olderStatesAreLeftOut);
    CPPUNIT_TEST(stateOfAnotherStoreIsAccepted);
    CPPUNIT_TEST(codecRoundTrips);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{1'000s};

    static std::vector<std::string> addresses(std::size_t n)
    {
        std::vector<std::string> all;
        for (std::size_t i = 0; i < n; ++i) {
            all.push_back("10.0.0." + std::to_string(i + 1) + ":7");
        }
        return all;
    }

    static std::vector<std::string> without(std::vector<std::string> all, const std::string &address)
    {
        std::erase(all, address);
        return all;
    }

    static FeedReport freshReport()
    {
        FeedReport report;
        report.cursor = {5, 1};
        return report;
    }

    /** An address that follows another one of @p all. */
    static std::string followerOf(const std::vector<std::string> &all)
    {
        for (const auto &it : all) {
            FeedFollower follower(it);
            if (follower.tick(TimePoint{1'000s}, without(all, it))) {
                return it;
            }
        }
        return {};
    }

    static StoreChange change(std::uint64_t revision, std::vector<StoreItem> items, bool isSnapshot = false)
    {
        return {std::move(items), isSnapshot, {std::nullopt, revision}, {}};
    }

public:
    void allGatewaysOfADomainChooseOneReader()
    {
        const auto all = addresses(30);
        std::set<std::string> readers;
        std::size_t following = 0;
        for (const auto &it : all) {
            FeedFollower follower(it);
            if (const auto poll = follower.tick(m_now, without(all, it))) {
                ++following;
                readers.insert(poll->reader);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, readers.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{29}, following);
    }

    void gatewaysOfSmallDomainsReadThemselves()
    {
        const auto all = addresses(5);
        CPPUNIT_ASSERT(followerOf(all).empty());
    }

    void silentReaderIsLeftAtOnce()
    {
        const auto all = addresses(30);
        const auto own = followerOf(all);
        FeedFollower follower(own);
        const auto poll = follower.tick(m_now, without(all, own));
        CPPUNIT_ASSERT(poll->poll.wait == 0ms);
        CPPUNIT_ASSERT(!follower.isFollowing());
        CPPUNIT_ASSERT(follower.onReport(m_now, freshReport()));
        CPPUNIT_ASSERT(follower.isFollowing());
        const auto next = follower.tick(m_now, without(all, own));
        CPPUNIT_ASSERT(next->poll.cursor == (FeedCursor{5, 1}));
        // A silent reader must be noticed well before a server that leaves may get no more requests.
        CPPUNIT_ASSERT(next->timeout <= 1s);
        CPPUNIT_ASSERT(!follower.tick(m_now, without(all, own)));
        follower.onFailure(m_now + next->timeout);
        CPPUNIT_ASSERT(!follower.isFollowing());
        const auto other = follower.tick(m_now + next->timeout, without(all, own));
        CPPUNIT_ASSERT(!other || other->reader != poll->reader);
    }

    void readerWithOldFactsIsLeftAtOnce()
    {
        const auto all = addresses(30);
        const auto own = followerOf(all);
        for (const auto member : {&FeedReport::serversAge, &FeedReport::configAge}) {
            FeedFollower follower(own);
            follower.tick(m_now, without(all, own));
            CPPUNIT_ASSERT(follower.onReport(m_now, freshReport()));
            follower.tick(m_now, without(all, own));
            auto report = freshReport();
            report.*member = 2s;
            CPPUNIT_ASSERT(!follower.onReport(m_now, report));
            CPPUNIT_ASSERT(!follower.isFollowing());
        }
    }

    /** Two gateways that see different peers may choose each other; then both read themselves. */
    void followedGatewayReadsItself()
    {
        const auto all = addresses(30);
        const auto own = followerOf(all);
        FeedFollower follower(own);
        follower.tick(m_now, without(all, own));
        CPPUNIT_ASSERT(follower.onReport(m_now, freshReport()));
        follower.onFollowed(m_now);
        CPPUNIT_ASSERT(!follower.isFollowing());
        CPPUNIT_ASSERT(!follower.tick(m_now + 1s, without(all, own)));
        CPPUNIT_ASSERT(follower.tick(m_now + 10s, without(all, own)));
    }

    void transitDoesNotMakeFactsSeemRecent()
    {
        const BootTime confirmed{100s};
        for (const auto toReader : {0ms, 5ms, 300ms}) {
            for (const auto held : {0ms, 250ms}) {
                const BootTime polled = confirmed + 40ms;
                const BootTime answered = polled + toReader + held;
                const auto age = std::chrono::ceil<std::chrono::milliseconds>(answered - confirmed);
                const auto seen = confirmedAt(polled, held, age);
                CPPUNIT_ASSERT(seen <= confirmed);
                CPPUNIT_ASSERT(seen >= confirmed - toReader);
            }
        }
    }

    void logSendsOnlyWhatIsMissing()
    {
        FeedLog log(9);
        log.apply(change(5, {{"a", "1", false}, {"b", "2", false}}, true));
        const auto first = log.end();
        CPPUNIT_ASSERT(log.changesAfter({}).isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.changesAfter({8, first.change}).items.size());
        CPPUNIT_ASSERT(log.changesAfter(first).items.empty());
        log.apply(change(6, {{"b", "2", false}}));
        CPPUNIT_ASSERT(log.changesAfter(first).items.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, log.changesAfter(first).position.revision);
        log.apply(change(8, {{"a", "3", false}, {"b", "", true}}));
        log.apply(change(9, {{"a", "4", false}}));
        const auto missing = log.changesAfter(first);
        CPPUNIT_ASSERT(!missing.isSnapshot);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, missing.items.size());
        CPPUNIT_ASSERT(missing.items[0].value == "4" && missing.items[1].isDeleted);
        // A full read shows by their absence that items are gone.
        log.apply(change(12, {}, true));
        CPPUNIT_ASSERT(log.changesAfter(first).items.front().isDeleted);
        for (int n = 0; n < 5'000; ++n) {
            log.apply(change(13, {{"a", std::to_string(n), false}}));
        }
        CPPUNIT_ASSERT(log.changesAfter(first).isSnapshot);
    }

    void logOfANewEraIsSentAsAWhole()
    {
        FeedLog log(9);
        log.apply(change(5, {{"a", "1", false}}, true));
        const auto before = log.end();
        StoreChange next{{{"a", "1", false}}, true, {StoreEra{2}, 3}, StorePosition{StoreEra{1}, 5}};
        log.apply(next);
        const auto missing = log.changesAfter(before);
        CPPUNIT_ASSERT(missing.isSnapshot && missing.items.size() == 1);
        CPPUNIT_ASSERT(missing.position == next.position);
        CPPUNIT_ASSERT(log.changesAfter(log.end()).items.empty());
    }

    void olderStatesAreLeftOut()
    {
        FeedOrder order;
        auto first = change(100, {}, true);
        CPPUNIT_ASSERT(order.accept(first));
        // An answer that was on its way while the other source passed on a later state.
        auto late = change(99, {{"a", "back again", false}});
        CPPUNIT_ASSERT(!order.accept(late));
        auto same = change(100, {});
        CPPUNIT_ASSERT(order.accept(same) && !same.replaced);
        auto restored = change(40, {}, true);
        restored.position.era = 2;
        CPPUNIT_ASSERT(order.accept(restored));
        CPPUNIT_ASSERT(restored.replaced == (StorePosition{std::nullopt, 100}));
        auto earlierEra = change(500, {}, true);
        earlierEra.position.era = 1;
        CPPUNIT_ASSERT(!order.accept(earlierEra));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, order.position().revision);
    }

    void stateOfAnotherStoreIsAccepted()
    {
        FeedOrder order;
        auto first = change(100, {}, true);
        order.accept(first);
        order.onStoreReplaced();
        auto other = change(3, {}, true);
        CPPUNIT_ASSERT(order.accept(other));
        auto late = change(2, {}, true);
        CPPUNIT_ASSERT(!order.accept(late));
    }

    void codecRoundTrips()
    {
        const auto poll = decodeFeedPoll(encodeFeedPoll({{5, 6}, 500ms}));
        CPPUNIT_ASSERT(poll.value->cursor == (FeedCursor{5, 6}) && poll.value->wait == 500ms);
        FeedReport report;
        report.cursor = {7, 8};
        report.servers = {{{"a", std::string("\xff\0x", 3), false}, {"b", "", true}}, true, {StoreEra{3}, 9}, {}};
        report.serversAge = 1ms;
        report.outage = 2ms;
        report.configVersion = 10;
        report.configAge = 3ms;
        report.held = 4ms;
        const auto back = decodeFeedReport(encodeFeedReport(report));
        CPPUNIT_ASSERT_EQUAL(std::string(), back.reason);
        CPPUNIT_ASSERT(back.value->cursor == report.cursor && back.value->servers.position == report.servers.position);
        CPPUNIT_ASSERT(back.value->servers.isSnapshot
                       && back.value->servers.items[0].value == report.servers.items[0].value);
        CPPUNIT_ASSERT(back.value->servers.items[1].isDeleted && back.value->serversAge == 1ms);
        CPPUNIT_ASSERT(back.value->outage == 2ms && back.value->configAge == 3ms && back.value->held == 4ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, back.value->configVersion);
        const auto bytes = encodeFeedReport(report);
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            CPPUNIT_ASSERT(!decodeFeedReport(std::string_view(bytes).substr(0, n)));
            auto wrong = bytes;
            wrong[n] = static_cast<char>(wrong[n] ^ 0x55);
            decodeFeedReport(wrong); // Must not throw.
            decodeFeedPoll(wrong);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedRelayTest);
