#include "cold_start.h"

#include <algorithm>

namespace turmericline {

namespace {

using Seconds = std::chrono::duration<double>;

/**
 * Part of a server's rate that the gateways divide. The rest covers slots of adjacent periods that are used close to each
 * other, since the gateways draw them independently.
 */
constexpr double usedShare = 0.8;
/** A slot that is not used within this time ends, so that the slots of many gateways do not add up. */
constexpr std::chrono::milliseconds maxSlotTime{250};
/** Limit of a stated time, so that a wrong value does not withdraw a server for good. */
constexpr std::chrono::milliseconds maxColdTime{60'000};

} // namespace

ColdStartLimits::ColdStartLimits(std::uint64_t seed)
    : m_random(seed)
{
}

void ColdStartLimits::setServices(const std::vector<RoutingService> &services)
{
    m_services.clear();
    for (const auto &it : services) {
        if (it.coldRequestsPerSecond > 0) {
            m_services[it.name] = {it.coldStart, it.coldRequestsPerSecond};
        }
    }
}

void ColdStartLimits::setGateways(std::size_t gateways)
{
    m_gateways = std::max<std::size_t>(1, gateways);
}

const ColdStartLimits::Service *ColdStartLimits::serviceOf(const Server &server) const
{
    const auto it = m_services.find(server.service);
    return it == m_services.end() ? nullptr : &it->second;
}

Seconds ColdStartLimits::periodOf(const Service &service) const
{
    return Seconds(static_cast<double>(m_gateways) / (service.requestsPerSecond * usedShare));
}

TimePoint ColdStartLimits::coldUntil(const Server &server) const
{
    const auto *service = serviceOf(server);
    if (service == nullptr) {
        return {};
    }
    return server.isTimeStated ? server.coldUntil : std::max(server.coldUntil, server.firstSeenAt + service->coldStart);
}

void ColdStartLimits::onAnnounced(TimePoint now, const BackendRecord &record)
{
    auto &server = m_servers[record.id];
    if (server.service.empty() || server.startTimeMs != record.startTimeMs) {
        server = {};
        server.startTimeMs = record.startTimeMs;
        server.service = record.service;
        server.domain = record.domain;
        server.firstSeenAt = now;
    }
    if (record.coldLeft) {
        server.isTimeStated = true;
        markCold(now, record.id, server, *record.coldLeft);
    }
}

void ColdStartLimits::onColdTime(TimePoint now, const ServerIncarnation &server, std::chrono::milliseconds left)
{
    const auto it = m_servers.find(server.id);
    if (it != m_servers.end() && it->second.startTimeMs == server.startTimeMs) {
        markCold(now, server.id, it->second, left);
    }
}

void ColdStartLimits::onDomainReturned(TimePoint now, std::string_view domain)
{
    for (auto &[id, server] : m_servers) {
        const auto *service = server.domain == domain ? serviceOf(server) : nullptr;
        if (service != nullptr) {
            markCold(now, id, server, service->coldStart);
        }
    }
}

/** A shorter time than one that is still running changes nothing: the statement may be older. */
void ColdStartLimits::markCold(TimePoint now, const std::string &id, Server &server, std::chrono::milliseconds left)
{
    const auto until = now + std::min(left, maxColdTime);
    if (until <= now || until <= server.coldUntil) {
        return;
    }
    const auto *service = serviceOf(server);
    if (server.coldUntil <= now && service != nullptr) {
        server.slotAt.reset();
        m_changes.push_back({id, left, 1 / periodOf(*service).count()});
    }
    server.coldUntil = until;
}

/** Draws a slot in the period that begins at @p now. */
void ColdStartLimits::drawSlot(TimePoint now, Server &server, Seconds period)
{
    const auto slotTime = std::min<Seconds>(period, maxSlotTime);
    const auto offset = (period - slotTime) * std::uniform_real_distribution<>(0, 1)(m_random);
    server.slotAt = now + std::chrono::ceil<TimePoint::duration>(offset);
    server.periodEnd = now + std::chrono::ceil<TimePoint::duration>(period);
}

ColdStartDecision ColdStartLimits::take(TimePoint now, const ServerIncarnation &server)
{
    const auto found = m_servers.find(server.id);
    if (found == m_servers.end() || coldUntil(found->second) <= now) {
        return {};
    }
    auto &it = found->second;
    const auto *service = serviceOf(it);
    const auto period = periodOf(*service);
    if (!it.slotAt) {
        // The gateways learn of a cold server at about the same time, so the first period begins at a random time.
        const auto elapsed = period * std::uniform_real_distribution<>(0, 1)(m_random);
        drawSlot(now - std::chrono::floor<TimePoint::duration>(elapsed), it, period);
    }
    while (now >= std::min(it.periodEnd, *it.slotAt + maxSlotTime)) {
        drawSlot(std::max(it.periodEnd, now - std::chrono::floor<TimePoint::duration>(period)), it, period);
    }
    if (now < *it.slotAt) {
        ++m_denied;
        return {false, false, *it.slotAt};
    }
    drawSlot(it.periodEnd, it, period);
    return {true, true, {}};
}

void ColdStartLimits::giveBack(TimePoint now, const ServerIncarnation &server)
{
    const auto it = m_servers.find(server.id);
    if (it != m_servers.end() && it->second.startTimeMs == server.startTimeMs && coldUntil(it->second) > now) {
        it->second.slotAt = now;
    }
}

bool ColdStartLimits::isCold(TimePoint now, const std::string &server) const
{
    const auto it = m_servers.find(server);
    return it != m_servers.end() && coldUntil(it->second) > now;
}

std::size_t ColdStartLimits::coldCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(), [now, this](const auto &it) {
        return coldUntil(it.second) > now;
    }));
}

void ColdStartLimits::expire(const BackendTable &servers)
{
    std::erase_if(m_servers, [&servers](const auto &it) {
        const auto *server = servers.find(it.first);
        return server == nullptr || server->record.startTimeMs != it.second.startTimeMs;
    });
}

std::vector<ColdServer> ColdStartLimits::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace turmericline
