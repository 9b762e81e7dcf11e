#include "gateway_feeds.h"

#include "gateway_feed.h"

#include <algorithm>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Watch of a gateway that others follow, so that the facts are recent when they arrive there. */
constexpr std::chrono::milliseconds followedWatchWait{1'000};
/** Those that follow are told of an outage for this long after its end, as in BackendRegistry. */
constexpr std::chrono::milliseconds outageNoticeTime{2'300};
/** Stated for facts that the store has not confirmed yet. */
constexpr std::chrono::milliseconds unknownAge{3'600'000};

std::optional<BootTime> later(std::optional<BootTime> a, std::optional<BootTime> b)
{
    return a && b ? std::max(*a, *b) : a ? a : b;
}

std::chrono::milliseconds ageOf(std::optional<BootTime> confirmedAt)
{
    return confirmedAt ? std::clamp(
               std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - *confirmedAt), 0ms, unknownAge)
                       : unknownAge;
}

} // namespace

GatewayFeeds::GatewayFeeds(asio::io_context &io,
                           const GatewayDialect &dialect,
                           const std::string &store,
                           Handlers handlers,
                           std::mt19937_64 &random)
    : m_handlers(std::move(handlers))
    , m_random(random)
    , m_configReader(
          io,
          dialect,
          configFeedConfig(dialect.operatorPrefix),
          store,
          [this](TimePoint, const StoreChange &change, std::chrono::milliseconds outage) {
              m_handlers.onConfig(change, outage);
          },
          random)
    , m_serverReader(
          io,
          dialect,
          serverFeedConfig(dialect.serverPrefix),
          store,
          [this](TimePoint now, const StoreChange &change, std::chrono::milliseconds outage) {
              if (outage > 0ms) {
                  m_lastOutage = outage;
                  m_lastOutageEndedAt = now;
              }
              onServers(now, change, outage);
              if (m_relay) {
                  m_relay->onServers(change);
              }
          },
          random)
{
}

void GatewayFeeds::startRelay(asio::io_context &io, const std::string &ownAddress)
{
    FeedRelay::Handlers handlers;
    handlers.ownFacts = [this] {
        return ownFacts();
    };
    handlers.onReport = [this](BootTime polledAt, FeedReport report) {
        onReport(polledAt, std::move(report));
    };
    handlers.onFollowed = [this] {
        m_configReader.requestRead();
        m_serverReader.requestRead();
    };
    m_relay = std::make_unique<FeedRelay>(io, ownAddress, std::move(handlers), m_random);
}

void GatewayFeeds::onPoll(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    m_relay->onRequest(request, responder);
}

void GatewayFeeds::stopRelay()
{
    if (m_relay) {
        m_relay->stop();
    }
}

void GatewayFeeds::tick(TimePoint now, const std::vector<std::string> &peers)
{
    if (m_relay) {
        m_relay->tick(now, peers);
        const bool isFollowing = m_relay->isFollowing();
        m_configReader.setPaused(isFollowing);
        m_serverReader.setPaused(isFollowing);
        const bool isFollowed = m_relay->isFollowed(now);
        m_configReader.setWatchWait(isFollowed ? followedWatchWait : configWatchWait);
        m_serverReader.setWatchWait(isFollowed ? followedWatchWait : serverWatchWait);
    }
    m_configReader.onKnownEra(now, m_serverReader.feed().era());
    m_serverReader.onKnownEra(now, m_configReader.feed().era());
    m_configReader.tick(now);
    m_serverReader.tick(now);
}

void GatewayFeeds::setAddress(const std::string &store)
{
    m_serversOrder.onStoreReplaced();
    m_configReader.setAddress(store);
    m_serverReader.setAddress(store);
}

void GatewayFeeds::setRereadSpread(std::chrono::milliseconds spread)
{
    m_configReader.setRereadSpread(spread);
    m_serverReader.setRereadSpread(spread);
}

std::optional<BootTime> GatewayFeeds::configConfirmedAt() const
{
    return later(m_configReader.feed().confirmedAt(), m_relayedConfigAt);
}

std::optional<BootTime> GatewayFeeds::serversConfirmedAt() const
{
    return later(m_serverReader.feed().confirmedAt(), m_relayedServersAt);
}

std::string GatewayFeeds::followedGateway() const
{
    return m_relay && m_relay->isFollowing() ? m_relay->reader() : std::string();
}

std::uint64_t GatewayFeeds::callCount() const
{
    return m_configReader.feed().callCount() + m_serverReader.feed().callCount();
}

void GatewayFeeds::onServers(TimePoint now, StoreChange change, std::chrono::milliseconds outage)
{
    if (m_serversOrder.accept(change)) {
        m_handlers.onServers(now, change, outage);
    }
}

void GatewayFeeds::onReport(BootTime polledAt, FeedReport report)
{
    const auto now = std::chrono::steady_clock::now();
    m_relayedServersAt = later(m_relayedServersAt, confirmedAt(polledAt, report.held, report.serversAge));
    onServers(now, std::move(report.servers), report.outage);
    const auto readAt = confirmedAt(polledAt, report.held, report.configAge);
    const auto knownAt = later(m_configReader.feed().confirmedAt(), m_relayedEvacuatedAt);
    if (report.configVersion > 0 && (!knownAt || readAt >= *knownAt)) {
        m_relayedEvacuatedAt = readAt;
        m_handlers.onEvacuated(now, report.evacuated);
    }
    const auto version = m_handlers.configVersion();
    if (report.configVersion > version) {
        m_configReader.requestRead();
    } else if (report.configVersion == version && version > 0) {
        m_relayedConfigAt = later(m_relayedConfigAt, confirmedAt(polledAt, report.held, report.configAge));
    }
}

FeedReport GatewayFeeds::ownFacts() const
{
    FeedReport facts;
    facts.serversAge = ageOf(m_serverReader.feed().confirmedAt());
    facts.configAge = ageOf(m_configReader.feed().confirmedAt());
    facts.configVersion = m_handlers.configVersion();
    facts.evacuated = m_handlers.evacuated();
    const bool isOutageRecent = std::chrono::steady_clock::now() - m_lastOutageEndedAt < outageNoticeTime;
    facts.outage = isOutageRecent ? m_lastOutage : 0ms;
    return facts;
}

} // namespace turmericline
