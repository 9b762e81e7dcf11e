#include "store_reader.h"

#include "log.h"

namespace turmericline {

namespace {

/** Outages shorter than this are not logged. */
constexpr std::chrono::milliseconds outageLogDelay{500};
constexpr int statusOk = 200;

} // namespace

void logNewEra(std::string_view prefix,
               const StoreChange &change,
               std::chrono::milliseconds outage,
               std::size_t keptFacts)
{
    logEvent(LogLevel::Warning,
             "store restored from a copy",
             {{"prefix", prefix},
              {"era", change.position.era.value_or(0)},
              {"revision", change.position.revision},
              {"replaced_era", change.replaced->era.value_or(0)},
              {"replaced_revision", change.replaced->revision},
              {"outage_ms", outage.count()},
              {"kept_facts", keptFacts}});
}

StoreReader::StoreReader(asio::io_context &io,
                         const GatewayDialect &dialect,
                         const StoreFeedConfig &config,
                         std::string address,
                         ChangeHandler onChange,
                         std::mt19937_64 &random)
    : m_feed(dialect, config)
    , m_name(config.prefix)
    , m_address(std::move(address))
    , m_onChange(std::move(onChange))
    , m_random(random)
    , m_caller(io)
{
}

void StoreReader::setAddress(std::string address)
{
    if (address != m_address) {
        m_address = std::move(address);
        ++m_callNumber;
        m_feed.onStoreReplaced(std::chrono::steady_clock::now(), m_random);
    }
}

void StoreReader::onKnownEra(TimePoint now, std::optional<StoreEra> era)
{
    if (m_feed.onKnownEra(now, era, m_random)) {
        ++m_callNumber;
    }
}

void StoreReader::setRereadSpread(std::chrono::milliseconds spread)
{
    m_feed.setRereadSpread(spread);
}

void StoreReader::setPaused(bool isPaused)
{
    if (m_feed.setPaused(isPaused)) {
        ++m_callNumber;
    }
}

void StoreReader::requestRead()
{
    if (m_feed.requestRead()) {
        ++m_callNumber;
    }
}

void StoreReader::setWatchWait(std::chrono::milliseconds wait)
{
    m_feed.setWatchWait(wait);
}

void StoreReader::tick(TimePoint now)
{
    m_caller.tick(now);
    if (const auto next = m_feed.takeCall(now, BootClock::now())) {
        call(now, *next);
    }
    const auto since = m_feed.failingSince();
    if (since && !m_isOutageLogged && now - *since > outageLogDelay) {
        m_isOutageLogged = true;
        logEvent(LogLevel::Warning, "store lost", {{"prefix", m_name}, {"reason", m_feed.lastError()}});
    }
}

void StoreReader::call(TimePoint now, const StoreCall &call)
{
    const auto serial = ++m_callNumber;
    m_caller.get(now,
                 m_address,
                 call.target,
                 call.timeout,
                 [this, serial](const std::optional<HttpReply> &reply, std::string reason) {
                     onReply(serial, reply, std::move(reason));
                 });
}

void StoreReader::onReply(std::uint64_t serial, const std::optional<HttpReply> &reply, std::string reason)
{
    if (serial != m_callNumber) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!reply) {
        m_feed.onFailure(now, std::move(reason), m_random);
        return;
    }
    const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_feed.failingSince() ? now - *m_feed.failingSince() : TimePoint::duration{});
    const auto change = m_feed.onAnswer(now, BootClock::now(), *reply, m_random);
    if (m_feed.failingSince() && reply->status == statusOk) {
        logEvent(
            LogLevel::Warning, "answer of the store rejected", {{"prefix", m_name}, {"reason", m_feed.lastError()}});
    }
    if (!m_feed.failingSince() && m_isOutageLogged) {
        m_isOutageLogged = false;
        logEvent(LogLevel::Info, "store regained", {{"prefix", m_name}, {"outage_ms", outage.count()}});
    }
    if (change) {
        m_onChange(now, *change, outage);
    }
    if (const auto next = m_feed.takeCall(now, BootClock::now())) {
        call(now, *next);
    }
}

} // namespace turmericline
