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
    /** Between the starts of two calls: changes that come close together are read by one call. */
    std::chrono::milliseconds shortestPeriod{150};
    /** Reads everything at this period instead of watching. Such reads may be seconds old and cost a tenth. */
    std::optional<std::chrono::milliseconds> stalePeriod;
    std::chrono::milliseconds answerTimeout{1'000}; ///< Of a call, beyond its wait.
    std::chrono::milliseconds shortestBackoff{50};
    std::chrono::milliseconds longestBackoff{800};
};

/** A call that is due. */
struct StoreCall
{
    std::string target;
    std::chrono::milliseconds timeout{};
};

/** What an answer of the store told. */
struct StoreChange
{
    std::vector<StoreItem> items;
    bool isSnapshot = false; ///< Items that are not listed do not exist.
};

/**
 * Follows the items under one prefix: reads them all, then watches from that revision. One call at a time; a failed one
 * is repeated after a randomized delay. Each call starts with the present state again if the history is lost.
 */
class StoreFeed
{
public:
    StoreFeed(const GatewayDialect &dialect, StoreFeedConfig config);

    /** The next call, if it is due and none is under way. */
    std::optional<StoreCall> takeCall(TimePoint now, BootTime bootNow);
    /** The answer to the call under way; nothing changed if the page is not complete yet or the status is an error. */
    std::optional<StoreChange> onAnswer(TimePoint now, int status, std::string_view body, std::mt19937_64 &random);
    /** No whole answer came. */
    void onFailure(TimePoint now, std::string reason, std::mt19937_64 &random);

    /** The state known here was that of the store at this time or later; nothing before the first whole answer. */
    std::optional<BootTime> confirmedAt() const
    {
        return m_confirmedAt;
    }

    /** Since when calls fail; nothing while they succeed. */
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
    std::optional<StoreChange> onPage(TimePoint now, StorePage page);

    const GatewayDialect &m_dialect;
    StoreFeedConfig m_config;
    bool m_isWatching = false; ///< Kind of the call that is due or under way.
    bool m_isCalling = false;
    TimePoint m_dueAt{};
    BootTime m_calledAt{};
    TimePoint m_startedAt{}; ///< Of the last call.
    std::uint64_t m_revision = 0;
    std::optional<std::uint64_t> m_snapshotRevision; ///< Of the first page of a read in several pages.
    std::vector<StoreItem> m_pages;
    std::optional<BootTime> m_confirmedAt;
    std::optional<TimePoint> m_failingSince;
    std::uint32_t m_failures = 0;
    std::uint64_t m_calls = 0;
    std::string m_lastError;
};

} // namespace turmericline
