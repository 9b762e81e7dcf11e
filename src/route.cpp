#include "route.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericline {

namespace {

// Least fraction of its slots that a server uses during warm-up; without it the caches would never fill.
constexpr double minWarmFraction = 0.1;
// Relative slowdown of a step with all slots in use; larger batches are slower per step even below saturation.
constexpr double batchSlowdown = 0.5;

// Fraction of the request time by which another server must score better to be chosen over the affinity server.
constexpr double scoreMargin = 0.02;
// Fraction of the full cache saving assumed for the first server of the affinity order without a known cache entry.
constexpr double assumedSavingFraction = 0.5;

std::size_t randomIndex(std::size_t size, RouteRandom &random)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

double meanLoad(std::span<const RouteServer> servers)
{
    double sum = 0;
    for (const RouteServer &it : servers) {
        sum += it.load;
    }
    return sum / static_cast<double>(servers.size());
}

/** Index of the first server in affinity order with a load of at most @p bound, or else of the least loaded one. */
std::size_t firstByAffinity(std::uint64_t prefix, std::span<const RouteServer> servers, double bound)
{
    std::optional<std::size_t> best;
    std::uint64_t bestAffinity = 0;
    std::size_t leastLoaded = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        leastLoaded = servers[i].load < servers[leastLoaded].load ? i : leastLoaded;
        const std::uint64_t value = affinity(prefix, servers[i].key);
        if (servers[i].load <= bound && (!best || value > bestAffinity)) {
            best = i;
            bestAffinity = value;
        }
    }
    return best.value_or(leastLoaded);
}

} // namespace

std::uint64_t affinity(std::uint64_t prefix, ServerKey server)
{
    return XXH64(&server, sizeof server, prefix);
}

std::size_t RandomPolicy::choose(const RouteConfig & /*config*/,
                                 const RouteRequest & /*request*/,
                                 std::span<const RouteServer> servers,
                                 RouteRandom &random) const
{
    return randomIndex(servers.size(), random);
}

std::size_t LeastReportedPolicy::choose(const RouteConfig & /*config*/,
                                        const RouteRequest & /*request*/,
                                        std::span<const RouteServer> servers,
                                        RouteRandom &random) const
{
    // Ties are broken at random; otherwise all requests would go to the first server until the first report arrives.
    const std::size_t offset = randomIndex(servers.size(), random);
    std::size_t best = offset;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const std::size_t index = (i + offset) % servers.size();
        const auto &it = servers[index];
        best = it.reported / it.slots < servers[best].reported / servers[best].slots ? index : best;
    }
    return best;
}

std::size_t AffinityPolicy::choose(const RouteConfig & /*config*/,
                                   const RouteRequest &request,
                                   std::span<const RouteServer> servers,
                                   RouteRandom &random) const
{
    return request.prefix == 0 ? randomIndex(servers.size(), random)
                               : firstByAffinity(request.prefix, servers, HUGE_VAL);
}

std::size_t BoundedAffinityPolicy::choose(const RouteConfig &config,
                                          const RouteRequest &request,
                                          std::span<const RouteServer> servers,
                                          RouteRandom &random) const
{
    const double bound = std::max(config.maxRelativeLoad * meanLoad(servers), 0.1);
    const std::size_t first
        = request.prefix == 0 ? randomIndex(servers.size(), random) : firstByAffinity(request.prefix, servers, bound);
    const std::size_t other = randomIndex(servers.size(), random);
    // Other entries route the prefix to the same server, so it may be cached there although this entry never sent it.
    RouteServer expected = servers[first];
    expected.cacheSaving
        = std::max(expected.cacheSaving, config.prefillPerToken * request.prefixTokens * assumedSavingFraction);
    // Without a margin, residual weight of old reports would decide between servers that are otherwise equal.
    return routeScore(config, servers[other]) < routeScore(config, expected) - scoreMargin * config.requestTime ? other
                                                                                                                : first;
}

Seconds routeScore(const RouteConfig &config, const RouteServer &server)
{
    const double waiting = std::max(0.0, server.load - 1);
    const double batch = batchSlowdown * std::min(server.load, 1.0);
    return config.requestTime * ((1 + batch + waiting) * server.slowness - 1) + server.roundTrip - server.cacheSaving;
}

PrefixMemory::PrefixMemory(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

void PrefixMemory::store(TimePoint now, std::uint64_t prefix, ServerKey server)
{
    const auto [it, isNew] = m_rows.insert_or_assign(prefix, Row{server, now});
    if (!isNew) {
        return;
    }
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(prefix);
        return;
    }
    m_rows.erase(std::exchange(m_ring[m_next], prefix));
    m_next = (m_next + 1) % m_capacity;
}

void PrefixMemory::drop(std::uint64_t prefix, ServerKey server)
{
    const auto it = m_rows.find(prefix);
    if (it != m_rows.end() && it->second.server == server) {
        // The row stays, because the ring buffer refers to it; server 0 marks it as empty.
        it->second.server = 0;
    }
}

std::optional<ServerKey> PrefixMemory::find(TimePoint now, std::uint64_t prefix, Seconds lifetime) const
{
    const auto it = m_rows.find(prefix);
    if (it == m_rows.end() || it->second.server == 0 || now - it->second.at > lifetime) {
        return std::nullopt;
    }
    return it->second.server;
}

std::size_t PrefixMemory::size() const
{
    return m_rows.size();
}

RouteTable::RouteTable(const RouteConfig &config)
    : m_config(config)
    , m_prefixes(config.prefixes)
{
}

RouteServer *RouteTable::find(ServerKey key)
{
    const auto it = std::find_if(m_servers.begin(), m_servers.end(), [key](const RouteServer &s) {
        return s.key == key;
    });
    return it == m_servers.end() ? nullptr : &*it;
}

void RouteTable::add(TimePoint now, ServerKey key, std::uint32_t slots, Seconds roundTrip)
{
    RouteServer *server = find(key);
    if (server == nullptr) {
        server = &m_servers.emplace_back();
        server->key = key;
        server->activeSince = now;
    }
    server->slots = std::max(slots, 1U);
    server->roundTrip = roundTrip;
}

void RouteTable::remove(ServerKey key)
{
    std::erase_if(m_servers, [key](const RouteServer &s) {
        return s.key == key;
    });
}

void RouteTable::setHealth(ServerKey key, bool isRoutable, double slowness)
{
    if (RouteServer *server = find(key)) {
        server->isRoutable = isRoutable;
        server->slowness = slowness;
    }
}

void RouteTable::onReport(TimePoint now, ServerKey key, double inFlightAndQueued, Seconds age)
{
    if (RouteServer *server = find(key)) {
        server->reported = inFlightAndQueued;
        server->reportedAt = now - std::chrono::duration_cast<TimePoint::duration>(age);
        server->ownInFlightAtReport = server->ownInFlight;
    }
}

void RouteTable::onStart(TimePoint now, ServerKey key, const RouteRequest &request)
{
    if (RouteServer *server = find(key)) {
        ++server->ownInFlight;
    }
    if (request.prefix != 0) {
        m_prefixes.store(now, request.prefix, key);
    }
}

void RouteTable::onEnd(ServerKey key)
{
    RouteServer *server = find(key);
    if (server != nullptr && server->ownInFlight > 0) {
        --server->ownInFlight;
    }
}

void RouteTable::onEvicted(std::uint64_t prefix, ServerKey key)
{
    m_prefixes.drop(prefix, key);
}

std::vector<RouteServer>
RouteTable::candidates(TimePoint now, const RouteRequest &request, std::span<const ServerKey> excluded) const
{
    std::vector<RouteServer> out;
    double othersSum = 0;
    for (const RouteServer &it : m_servers) {
        if (it.isRoutable && std::find(excluded.begin(), excluded.end(), it.key) == excluded.end()) {
            out.push_back(it);
            othersSum += std::max(0.0, it.reported - it.ownInFlightAtReport) / it.slots;
        }
    }
    const double othersMean = othersSum / static_cast<double>(std::max<std::size_t>(out.size(), 1));
    const auto holder = m_prefixes.find(now, request.prefix, m_config.prefixLifetime);
    for (RouteServer &it : out) {
        // As a report ages, the estimate moves from the server's own value to the mean of all servers.
        const double reportWeight = std::exp(-Seconds(now - it.reportedAt) / m_config.reportLifetime);
        const double others = std::max(0.0, it.reported - it.ownInFlightAtReport) / it.slots;
        const double warmFraction
            = std::clamp(Seconds(now - it.activeSince) / m_config.warmUpTime, minWarmFraction, 1.0);
        const double own = static_cast<double>(it.ownInFlight) / it.slots;
        it.load = (reportWeight * others + (1 - reportWeight) * othersMean + own) / warmFraction;
        if (holder == it.key) {
            it.cacheSaving = m_config.prefillPerToken * request.prefixTokens;
        }
    }
    return out;
}

} // namespace turmericline
