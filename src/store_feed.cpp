#include "store_feed.h"

#include <algorithm>
#include <utility>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;
constexpr std::uint32_t maxDoublings = 5;

bool isUsable(int status)
{
    return status == statusOk || status == statusNotFound || status == statusGone;
}

} // namespace

StoreFeed::StoreFeed(const GatewayDialect &dialect, StoreFeedConfig config)
    : m_dialect(dialect)
    , m_config(std::move(config))
{
}

std::optional<StoreCall> StoreFeed::takeCall(TimePoint now, BootTime bootNow)
{
    if (m_isCalling || now < m_dueAt || (m_isPaused && !m_isReadRequested)) {
        return std::nullopt;
    }
    m_isCalling = true;
    m_calledAt = bootNow;
    m_startedAt = now;
    ++m_calls;
    if (m_isWatching) {
        // An empty watch confirms the state up to its end, so the first one ends when the new era has settled.
        const auto unsettled = std::chrono::ceil<std::chrono::milliseconds>(m_settledAt - bootNow);
        m_wait = unsettled > 0ms ? std::min(unsettled, m_config.watchWait) : m_config.watchWait;
        return StoreCall{m_dialect.watchTarget(m_config.prefix, m_position.revision, m_wait),
                         m_wait + m_config.responseTimeout};
    }
    const std::string after = m_pages.empty() ? "" : m_pages.back().key;
    return StoreCall{m_dialect.rangeTarget(m_config.prefix, after, m_config.stalePollPeriod.has_value()),
                     m_config.responseTimeout};
}

bool StoreFeed::onKnownEra(TimePoint now, std::optional<StoreEra> era, std::mt19937_64 &random)
{
    if (!m_isWatching || !(m_era.current() < era)) {
        return false;
    }
    m_isWatching = false;
    rereadLater(now, random);
    return true;
}

void StoreFeed::onStoreReplaced(TimePoint now, std::mt19937_64 &random)
{
    m_era = {};
    fail(now, "the store's address has changed", random);
}

bool StoreFeed::setPaused(bool isPaused)
{
    const bool isResumed = std::exchange(m_isPaused, isPaused) && !isPaused;
    if (isResumed) {
        // Changes were missed in the meantime. A read shows them at once, a watch only as long as there is a history.
        restart();
    }
    return isResumed;
}

bool StoreFeed::requestRead()
{
    if (std::exchange(m_isReadRequested, true)) {
        return false;
    }
    restart();
    return true;
}

void StoreFeed::restart()
{
    m_isCalling = false;
    m_isWatching = false;
    m_pages.clear();
    m_snapshotRevision.reset();
    m_dueAt = TimePoint::min();
}

void StoreFeed::setWatchWait(std::chrono::milliseconds wait)
{
    m_config.watchWait = wait;
}

void StoreFeed::setRereadSpread(std::chrono::milliseconds spread)
{
    m_rereadSpread = spread;
}

std::optional<StoreChange>
StoreFeed::onAnswer(TimePoint now, BootTime bootNow, const HttpReply &answer, std::mt19937_64 &random)
{
    if (!isUsable(answer.status)) {
        m_wasAway |= answer.status == statusUnavailable;
        fail(now, "status " + std::to_string(answer.status), random);
        return std::nullopt;
    }
    const auto era = m_dialect.readEra(answer.headers);
    const auto isNewEra = era ? m_era.accept(*era.value) : Result<bool>::fail(era.reason);
    if (!isNewEra) {
        fail(now, isNewEra.reason, random);
        return std::nullopt;
    }
    if (m_wasAway && m_position.revision == 0) {
        // The store may have come back from a copy; without an earlier answer, its era does not tell.
        settle(bootNow);
    }
    m_wasAway = false;
    if (*isNewEra.value) {
        // The first page of a read is of the new era as a whole; other answers continue from the previous one.
        const bool isContinued = m_isWatching || !m_pages.empty();
        beginEra(bootNow);
        if (isContinued) {
            rereadLater(now, random);
            return std::nullopt;
        }
    }
    if (answer.status == statusGone) {
        m_isCalling = false;
        m_isWatching = false;
        m_dueAt = now;
        m_pages.clear();
        return std::nullopt;
    }
    auto page = m_dialect.readPage(answer.body);
    if (!page) {
        fail(now, page.reason, random);
        return std::nullopt;
    }
    m_isCalling = false;
    m_failures = 0;
    m_failingSince.reset();
    m_dueAt = std::max(now, m_startedAt + m_config.minCallPeriod);
    return onPage(now, std::move(*page.value));
}

void StoreFeed::beginEra(BootTime bootNow)
{
    m_isWatching = false;
    m_pages.clear();
    m_snapshotRevision.reset();
    settle(bootNow);
}

void StoreFeed::settle(BootTime bootNow)
{
    if (m_config.settleTime > 0ms) {
        m_settledAt = bootNow + m_config.settleTime;
    }
}

void StoreFeed::rereadLater(TimePoint now, std::mt19937_64 &random)
{
    m_isCalling = false;
    const auto delay = std::uniform_int_distribution<std::int64_t>(0, m_rereadSpread.count())(random);
    m_dueAt = std::max(now + std::chrono::milliseconds(delay), m_startedAt + m_config.minCallPeriod);
}

void StoreFeed::confirm(BootTime at)
{
    if (at >= m_settledAt) {
        m_confirmedAt = at;
    }
}

std::optional<StoreChange> StoreFeed::onPage(TimePoint now, StorePage page)
{
    if (m_isWatching) {
        // The store responds without events only after the wait, so the state is confirmed up to its end.
        confirm(m_calledAt + (page.items.empty() ? m_wait : 0ms));
        return changeTo(std::max(m_position.revision, page.revision), std::move(page.items), false);
    }
    if (!m_snapshotRevision) {
        m_snapshotRevision = page.revision;
    }
    std::move(page.items.begin(), page.items.end(), std::back_inserter(m_pages));
    if (page.isTruncated && !m_pages.empty()) {
        return std::nullopt;
    }
    // The pages are not an atomic snapshot. The watch starts at the revision of the first page, so that it reports
    // changes made between two pages.
    const auto revision = *std::exchange(m_snapshotRevision, std::nullopt);
    m_isReadRequested = false;
    confirm(m_calledAt);
    m_isWatching = !m_config.stalePollPeriod;
    if (m_config.stalePollPeriod) {
        m_dueAt = now + *m_config.stalePollPeriod;
        if (m_position.era == m_era.current() && revision < m_position.revision) {
            m_pages.clear(); // A stale read that is older than the last one.
            return std::nullopt;
        }
    }
    return changeTo(revision, std::exchange(m_pages, {}), true);
}

StoreChange StoreFeed::changeTo(std::uint64_t revision, std::vector<StoreItem> items, bool isSnapshot)
{
    const auto previous = std::exchange(m_position, StorePosition{m_era.current(), revision});
    const bool isNewEra = previous.revision > 0 && previous.era != m_position.era;
    return {std::move(items), isSnapshot, m_position, isNewEra ? std::optional(previous) : std::nullopt};
}

void StoreFeed::onFailure(TimePoint now, std::string reason, std::mt19937_64 &random)
{
    m_wasAway = true;
    fail(now, std::move(reason), random);
}

void StoreFeed::fail(TimePoint now, std::string reason, std::mt19937_64 &random)
{
    m_isCalling = false;
    // Continue with a read, which returns at once and so confirms the state sooner than a watch.
    m_isWatching = false;
    m_pages.clear();
    m_snapshotRevision.reset();
    m_lastError = std::move(reason);
    if (!m_failingSince) {
        m_failingSince = now;
    }
    const auto backoff
        = std::min(m_config.minBackoff * (1U << std::min(m_failures, maxDoublings)), m_config.maxBackoff);
    ++m_failures;
    const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random);
    m_dueAt = now + std::chrono::duration_cast<std::chrono::milliseconds>(backoff * jitter);
}

} // namespace turmericline
