#include "server_selector.h"

#include <algorithm>

namespace turmericline {

namespace {

/** Round-trip time to another failure domain; current sites have 1 ms and 3 ms. */
constexpr Seconds crossDomainRoundTrip{0.003};
/** Time for which a server is excluded after its agent refused all new requests. */
constexpr std::chrono::seconds refusalTime{2};

} // namespace

ServerSelector::ServerSelector(std::string domain, const HealthConfig &health, std::uint64_t seed)
    : m_domain(std::move(domain))
    , m_health(health)
    , m_random(seed)
{
}

std::uint64_t ServerSelector::randomSeed()
{
    return std::random_device{}();
}

void ServerSelector::setDocument(TimePoint now, const Document &document)
{
    for (auto &[service, routes] : m_routes) {
        std::erase_if(routes.names, [&, &table = routes.table, &name = service](const auto &row) {
            const auto id = document.servers.find(row.second);
            const bool isKept = id.isValid() && document.services[document.servers[id].service].name == name;
            if (!isKept) {
                table.remove(row.first);
                m_serviceOf.erase(row.second);
                m_health.remove(row.first);
            }
            return !isKept;
        });
    }
    for (const auto &it : document.servers) {
        const auto key = serverKey(it.name);
        const auto &service = document.services[it.service].name;
        auto &routes = m_routes[service];
        routes.names[key] = it.name;
        m_serviceOf[it.name] = service;
        m_health.add(now, key);
        m_health.setLeaving(key, it.state != ServerState::Active);
        routes.table.add(now, key, it.slots, it.domain == m_domain ? Seconds(0) : crossDomainRoundTrip);
    }
    refreshHealth(now);
}

void ServerSelector::setInstances(TimePoint now, const std::vector<InstanceInfo> &instances)
{
    std::map<std::string_view, ListedState> listed;
    for (const auto &it : instances) {
        if (it.role == "agent") {
            listed[it.name] = it.isLeaving ? ListedState::Leaving : ListedState::Live;
        }
    }
    if (listed.empty()) {
        return; // A list without any agent is taken as no information about them.
    }
    for (const auto &[name, service] : m_serviceOf) {
        const auto it = listed.find(name);
        m_health.setListed(now, serverKey(name), it == listed.end() ? ListedState::Absent : it->second);
    }
    refreshHealth(now);
}

void ServerSelector::tick(TimePoint now)
{
    m_health.tick(now);
    refreshHealth(now);
}

void ServerSelector::refreshHealth(TimePoint now)
{
    for (auto &[service, routes] : m_routes) {
        for (const auto &[key, name] : routes.names) {
            refreshHealth(now, key, routes.table);
        }
    }
}

void ServerSelector::refreshHealth(TimePoint now, ServerKey key, RouteTable &table)
{
    const auto refusing = m_refusingUntil.find(key);
    const bool isRefusing = refusing != m_refusingUntil.end() && now < refusing->second;
    if (refusing != m_refusingUntil.end() && !isRefusing) {
        m_refusingUntil.erase(refusing);
    }
    table.setHealth(key, !isRefusing && m_health.isRoutable(now, key), m_health.slowness(key));
}

void ServerSelector::onRefusing(TimePoint now, std::string_view server)
{
    if (auto *routes = routesOf(server)) {
        m_refusingUntil[serverKey(server)] = now + refusalTime;
        refreshHealth(now, serverKey(server), routes->table);
    }
}

ServerSelector::ServiceRoutes *ServerSelector::routesOf(std::string_view server)
{
    const auto service = m_serviceOf.find(server);
    return service == m_serviceOf.end() ? nullptr : &m_routes.at(service->second);
}

std::optional<std::string> ServerSelector::choose(TimePoint now,
                                                  std::string_view service,
                                                  const RouteRequest &request,
                                                  std::span<const std::string> tried)
{
    const auto it = m_routes.find(service);
    if (it == m_routes.end()) {
        return std::nullopt;
    }
    auto &routes = it->second;
    std::vector<ServerKey> excluded;
    for (const auto &name : tried) {
        excluded.push_back(serverKey(name));
    }
    // Suspected servers receive a request at intervals as a probe, to detect that they answer again.
    for (const auto &[key, name] : routes.names) {
        if (std::ranges::find(excluded, key) == excluded.end() && m_health.takeProbe(now, key)) {
            return name;
        }
    }
    const auto key = routes.table.choose(now, request, m_policy, m_random, excluded);
    return key ? std::optional(routes.names.at(*key)) : std::nullopt;
}

std::vector<std::string>
ServerSelector::routable(TimePoint now, std::string_view service, std::span<const std::string> tried) const
{
    std::vector<std::string> names;
    const auto it = m_routes.find(service);
    if (it == m_routes.end()) {
        return names;
    }
    for (const auto &server : it->second.table.servers()) {
        const auto &name = it->second.names.at(server.key);
        if (server.isRoutable && m_health.isRoutable(now, server.key)
            && std::ranges::find(tried, name) == tried.end()) {
            names.push_back(name);
        }
    }
    return names;
}

void ServerSelector::onStart(TimePoint now, std::string_view server, const RouteRequest &request)
{
    if (auto *routes = routesOf(server)) {
        routes->table.onStart(now, serverKey(server), request);
    }
}

void ServerSelector::onEnd(std::string_view server)
{
    m_health.onEnd(serverKey(server));
    if (auto *routes = routesOf(server)) {
        routes->table.onEnd(serverKey(server));
    }
}

void ServerSelector::onSuccess(TimePoint now,
                               std::string_view server,
                               std::uint64_t incarnation,
                               std::chrono::duration<double> latency)
{
    m_health.onSuccess(now, serverKey(server), incarnation, latency);
    if (auto *routes = routesOf(server)) {
        refreshHealth(now, serverKey(server), routes->table);
    }
}

void ServerSelector::onFailure(TimePoint now, std::string_view server)
{
    const auto key = serverKey(server);
    m_health.onFailure(now, key);
    if (auto *routes = routesOf(server)) {
        refreshHealth(now, key, routes->table);
    }
}

void ServerSelector::onLoad(TimePoint now, std::string_view server, double inFlightAndQueued)
{
    if (auto *routes = routesOf(server)) {
        routes->table.onReport(now, serverKey(server), inFlightAndQueued, Seconds(0));
    }
}

void ServerSelector::onHealthReport(TimePoint now, EntryKey reporter, const HealthReport &report)
{
    m_health.onReport(now, reporter, report); // The next tick() copies the result into the routing table.
}

std::vector<HealthReport> ServerSelector::suspects(std::size_t limit) const
{
    return m_health.suspects(limit);
}

HealthState ServerSelector::state(TimePoint now, std::string_view server) const
{
    return m_health.state(now, serverKey(server));
}

double ServerSelector::load(std::string_view service) const
{
    const auto it = m_routes.find(service);
    if (it == m_routes.end()) {
        return 1;
    }
    double work = 0;
    double slots = 0;
    for (const auto &server : it->second.table.servers()) {
        work += std::max(server.reported, static_cast<double>(server.ownInFlight));
        slots += server.isRoutable ? server.slots : 0;
    }
    return slots > 0 ? work / slots : 1;
}

} // namespace turmericline
