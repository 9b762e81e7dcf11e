#pragma once

#include "gateway_dialect.h"
#include "time_type.h"

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

struct StoreFeedConfig
{
    std::string prefix;
    std::chrono::milliseconds watchWait{2'000};
    /** Minimum time between the starts of two calls, so that one call reads all changes in quick succession. */
    std::chrono::milliseconds minCallPeriod{150};
    /** Polls with stale reads at this period instead of watching. They may be seconds old, but cost a tenth. */
    std::optional<std::chrono::milliseconds> stalePollPeriod;
    std::chrono::milliseconds responseTimeout{1'000}; ///< Of a call; a watch waits in addition to it.
    std::chrono::milliseconds minBackoff{50};
    std::chrono::milliseconds maxBackoff{800};
    /** After a restore, lost changes are written again for this long; until then, the state is not confirmed to be current. */
    std::chrono::milliseconds settleTime{0};
};

/** A call to send to the store. */
struct StoreCall
{
    std::string target;
    std::chrono::milliseconds timeout{};
};

/** Changes to apply after a response of the store. */
struct StoreChange
{
    std::vector<StoreItem> items;
    bool isSnapshot = false; ///< The list is complete: items that are not in it do not exist.
    StorePosition position; ///< State of the store after these changes.
    std::optional<StorePosition> replaced; ///< Last state of the previous era, if this is the first one of a new era.
};

/**
 * Tracks the items under one key prefix: reads them all, then watches for changes from that revision. There is one call
 * at a time. After a failure, in a new era, or if the store no longer has the history of a watch, it reads all items again;
 * retries after failures use a randomized exponential backoff.
 */
class StoreFeed
{
public:
    StoreFeed(const GatewayDialect &dialect, StoreFeedConfig config);

    /** Starts the next call if it is due and none is in progress. */
    std::optional<StoreCall> takeCall(TimePoint now, BootTime bootNow);
    /** Handles the response to the current call. Returns nothing if more pages follow or the call has failed. */
    std::optional<StoreChange>
    onAnswer(TimePoint now, BootTime bootNow, const HttpReply &answer, std::mt19937_64 &random);
    /**
     * Called with the era that another feed of the same store knows. If it is later than that of this feed, the current call
     * is void, since a watch that began before may not see what was written again; all items are read again. Returns
     * whether that is so.
     */
    bool onKnownEra(TimePoint now, std::optional<StoreEra> era, std::mt19937_64 &random);
    /** Called if calls go to another store from now on, whose eras have nothing to do with those of the former one. */
    void onStoreReplaced(TimePoint now, std::mt19937_64 &random);
    /**
     * Stops calls while another source has the changes; afterwards all items are read again. Returns whether the current
     * call is void, so that its answer must not be passed on.
     */
    bool setPaused(bool isPaused);
    /** Has all items read once although the feed is paused, unless that is already asked for; returns as setPaused(). */
    bool requestRead();
    /** Sets the longest wait of a watch. */
    void setWatchWait(std::chrono::milliseconds wait);
    /** Sets the time over which the feeds of all gateways that learn of a new era spread their reads. */
    void setRereadSpread(std::chrono::milliseconds spread);
    /** Called if the current call ended without a complete response. */
    void onFailure(TimePoint now, std::string reason, std::mt19937_64 &random);

    /** Era of the last accepted answer. */
    std::optional<StoreEra> era() const
    {
        return m_era.current();
    }

    /** State of the store that the items passed on so far reflect. */
    const StorePosition &position() const
    {
        return m_position;
    }

    /** Time at which the known state was last confirmed to be current; nothing before the first complete read. */
    std::optional<BootTime> confirmedAt() const
    {
        return m_confirmedAt;
    }

    /** Time of the first of the current series of failed calls; nothing if the last call succeeded. */
    std::optional<TimePoint> failingSince() const
    {
        return m_failingSince;
    }

    const std::string &lastError() const
    {
        return m_lastError;
    }

    std::uint64_t callCount() const
    {
        return m_calls;
    }

private:
    void restart();
    void fail(TimePoint now, std::string reason, std::mt19937_64 &random);
    void beginEra(BootTime bootNow);
    /** Has the state not be confirmed before the settle time is over. */
    void settle(BootTime bootNow);
    void rereadLater(TimePoint now, std::mt19937_64 &random);
    void confirm(BootTime at);
    std::optional<StoreChange> onPage(TimePoint now, StorePage page);
    StoreChange changeTo(std::uint64_t revision, std::vector<StoreItem> items, bool isSnapshot);

    const GatewayDialect &m_dialect;
    StoreFeedConfig m_config;
    bool m_isWatching = false; ///< Whether the next or current call is a watch rather than a read.
    bool m_isCalling = false;
    bool m_isPaused = false;
    bool m_isReadRequested = false; ///< A read is to be made, or finished, although the feed is paused.
    TimePoint m_dueAt{};
    BootTime m_calledAt{};
    std::chrono::milliseconds m_wait{}; ///< Wait of the last watch.
    TimePoint m_startedAt{}; ///< Start of the last call.
    EraTracker m_era;
    StorePosition m_position;
    std::optional<std::uint64_t> m_snapshotRevision; ///< Revision of the first page while a read is in progress.
    std::vector<StoreItem> m_pages;
    std::chrono::milliseconds m_rereadSpread{0};
    BootTime m_settledAt{}; ///< The state is not confirmed to be current before this time.
    std::optional<BootTime> m_confirmedAt;
    std::optional<TimePoint> m_failingSince;
    std::uint32_t m_failures = 0;
    bool m_wasAway = false; ///< The store did not serve a call since its last usable answer.
    std::uint64_t m_calls = 0;
    std::string m_lastError;
};

} // namespace turmericline
