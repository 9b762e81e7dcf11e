#pragma once

#include "document_type.h"
#include "health.h"
#include "platform_client.h"
#include "route.h"

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Selects the backend server for each attempt by health, load and prefix affinity. */
class ServerSelector
{
public:
    /** A fixed @p seed makes the selection reproducible. */
    explicit ServerSelector(std::string domain, const HealthConfig &health = {}, std::uint64_t seed = randomSeed());

    void setDocument(TimePoint now, const Document &document);
    void setInstances(TimePoint now, const std::vector<InstanceInfo> &instances);
    /** Re-evaluates health, including the comparison of latencies; must be called once a second. */
    void tick(TimePoint now);

    /** Excludes the servers in @p tried; std::nullopt if no other server of the service accepts new requests. */
    std::optional<std::string>
    choose(TimePoint now, std::string_view service, const RouteRequest &request, std::span<const std::string> tried);

    /** Returns the servers of the service that accept new requests, except those in @p tried. */
    std::vector<std::string>
    routable(TimePoint now, std::string_view service, std::span<const std::string> tried) const;

    void onStart(TimePoint now, std::string_view server, const RouteRequest &request);
    void onEnd(std::string_view server);
    void
    onSuccess(TimePoint now, std::string_view server, std::uint64_t incarnation, std::chrono::duration<double> latency);
    void onFailure(TimePoint now, std::string_view server);
    /** The agent refused all new requests; excludes the server for a short time. */
    void onRefusing(TimePoint now, std::string_view server);
    /** Records the load that a response carried in its headers; the age of the figure is taken as 0. */
    void onLoad(TimePoint now, std::string_view server, double inFlightAndQueued);

    /** Applies a health report that another entry sent. */
    void onHealthReport(TimePoint now, EntryKey reporter, const HealthReport &report);
    /** Returns at most @p limit servers that this entry suspects, to be sent by gossip. */
    std::vector<HealthReport> suspects(std::size_t limit) const;

    HealthState state(TimePoint now, std::string_view server) const;
    /**
     * Returns the requests in flight and queued at the servers of a service, divided by the slots of its routable
     * servers; 1 if there are none. Retry-After is computed from it.
     */
    double load(std::string_view service) const;

private:
    struct ServiceRoutes
    {
        RouteTable table;
        std::unordered_map<ServerKey, std::string> names;
    };

    static std::uint64_t randomSeed();
    void refreshHealth(TimePoint now);
    void refreshHealth(TimePoint now, ServerKey key, RouteTable &table);
    ServiceRoutes *routesOf(std::string_view server);

    std::string m_domain;
    HealthTable m_health;
    std::unordered_map<ServerKey, TimePoint> m_refusingUntil;
    std::map<std::string, ServiceRoutes, std::less<>> m_routes; ///< By service.
    std::unordered_map<std::string, std::string, StringHash, std::equal_to<>> m_serviceOf; ///< By server.
    BoundedAffinityPolicy m_policy;
    RouteRandom m_random;
};

} // namespace turmericline
