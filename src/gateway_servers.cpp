#include "gateway_servers.h"

#include "log.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::chrono::seconds expiryPeriod{10};
/** When a whole failure domain becomes cold, this many of its servers are logged singly. */
constexpr std::size_t maxLoggedColdServers = 8;

} // namespace

GatewayServers::GatewayServers(const GatewayDialect &dialect, BackendTable &table, std::uint64_t seed)
    : m_table(table)
    , m_coldStart(seed)
    , m_registry(dialect,
                 table,
                 [this](TimePoint now, const BackendRecord &record) {
                     m_coldStart.onAnnounced(now, record);
                 })
    , m_evacuated(dialect)
{
}

std::size_t GatewayServers::apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)
{
    return m_registry.apply(now, change, outage);
}

void GatewayServers::applyOperatorChange(TimePoint now, const StoreChange &change)
{
    m_evacuated.apply(now, change);
    applyEvacuations(now);
}

void GatewayServers::setEvacuated(TimePoint now, const std::set<std::string> &domains)
{
    m_evacuated.replace(now, domains);
    applyEvacuations(now);
}

void GatewayServers::setConfig(const RoutingConfig &config)
{
    m_coldStart.setServices(config.services);
}

void GatewayServers::applyEvacuations(TimePoint now)
{
    const auto changes = m_evacuated.takeChanges();
    if (changes.empty()) {
        return;
    }
    m_table.setEvacuated(m_evacuated.domains());
    for (const auto &it : changes) {
        if (!it.isEvacuated) {
            // The announcements that say so may arrive later.
            m_coldStart.onDomainReturned(now, it.domain);
        }
        logEvent(LogLevel::Info,
                 it.isEvacuated ? "failure domain evacuated" : "evacuation of a failure domain ended",
                 {{"evacuated_domain", it.domain}, {"evacuated", m_evacuated.domains().size()}});
    }
}

void GatewayServers::logColdServers()
{
    const auto changes = m_coldStart.takeChanges();
    for (std::size_t n = 0; n < std::min(changes.size(), maxLoggedColdServers); ++n) {
        const auto &it = changes[n];
        logEvent(LogLevel::Info,
                 "server is cold",
                 {{"server", it.server},
                  {"left_ms", it.left.count()},
                  {"quota_per_s", it.requestsPerSecond},
                  {"servers", changes.size()}});
    }
}

void GatewayServers::tick(TimePoint now, std::size_t gateways)
{
    m_coldStart.setGateways(gateways);
    m_registry.tick(now);
    m_evacuated.tick(now);
    applyEvacuations(now);
    logColdServers();
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + expiryPeriod;
        m_coldStart.expire(m_table);
    }
}

} // namespace turmericline
