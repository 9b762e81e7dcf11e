#include "store_feed.h"

#include <algorithm>
#include <utility>

namespace turmericline {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr std::uint32_t maxDoublings = 5;

} // namespace

StoreFeed::StoreFeed(const GatewayDialect &dialect, StoreFeedConfig config)
    : m_dialect(dialect)
    , m_config(std::move(config))
{
}

std::optional<StoreCall> StoreFeed::takeCall(TimePoint now, BootTime bootNow)
{
    if (m_isCalling || now < m_dueAt) {
        return std::nullopt;
    }
    m_isCalling = true;
    m_calledAt = bootNow;
    m_startedAt = now;
    ++m_calls;
    if (m_isWatching) {
        return StoreCall{m_dialect.watchTarget(m_config.prefix, m_revision, m_config.watchWait),
                         m_config.watchWait + m_config.responseTimeout};
    }
    const std::string after = m_pages.empty() ? "" : m_pages.back().key;
    return StoreCall{m_dialect.rangeTarget(m_config.prefix, after, m_config.stalePollPeriod.has_value()),
                     m_config.responseTimeout};
}

std::optional<StoreChange>
StoreFeed::onAnswer(TimePoint now, int status, std::string_view body, std::mt19937_64 &random)
{
    if (status == statusGone) {
        m_isCalling = false;
        m_isWatching = false;
        m_dueAt = now;
        m_pages.clear();
        return std::nullopt;
    }
    if (status != statusOk && status != statusNotFound) {
        onFailure(now, "status " + std::to_string(status), random);
        return std::nullopt;
    }
    auto page = m_dialect.readPage(body);
    if (!page) {
        onFailure(now, page.reason, random);
        return std::nullopt;
    }
    m_isCalling = false;
    m_failures = 0;
    m_failingSince.reset();
    m_dueAt = std::max(now, m_startedAt + m_config.minCallPeriod);
    return onPage(now, std::move(*page.value));
}

std::optional<StoreChange> StoreFeed::onPage(TimePoint now, StorePage page)
{
    if (m_isWatching) {
        // The store responds without events only after the wait, so the state is confirmed up to its end.
        m_confirmedAt = m_calledAt + (page.items.empty() ? m_config.watchWait : std::chrono::milliseconds{0});
        m_revision = std::max(m_revision, page.revision);
        return StoreChange{std::move(page.items), false};
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
    m_revision = *std::exchange(m_snapshotRevision, std::nullopt);
    m_confirmedAt = m_calledAt;
    m_isWatching = !m_config.stalePollPeriod;
    if (m_config.stalePollPeriod) {
        m_dueAt = now + *m_config.stalePollPeriod;
    }
    return StoreChange{std::exchange(m_pages, {}), true};
}

void StoreFeed::onFailure(TimePoint now, std::string reason, std::mt19937_64 &random)
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
