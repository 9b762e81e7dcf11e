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

/** Chooses the backend server of each attempt, from health, load and prefix affinity. */
class ServerSelector
{
public:
    /** A fixed @p seed makes the choices repeatable. */
    explicit ServerSelector(std::string domain, const HealthConfig &health = {}, std::uint64_t seed = randomSeed());

    void setDocument(TimePoint now, const Document &document);
    void setInstances(TimePoint now, const std::vector<InstanceInfo> &instances);
    /** Compares latencies; call every second. */
    void tick(TimePoint now);

    /** Returns nothing if no server of the service can take new work; @p tried holds the names of earlier attempts. */
    std::optional<std::string>
    choose(TimePoint now, std::string_view service, const RouteRequest &request, std::span<const std::string> tried);

    /** Servers of the service that can take new work, without those in @p tried. */
    std::vector<std::string>
    routable(TimePoint now, std::string_view service, std::span<const std::string> tried) const;

    void onStart(TimePoint now, std::string_view server, const RouteRequest &request);
    void onEnd(std::string_view server);
    void
    onSuccess(TimePoint now, std::string_view server, std::uint64_t incarnation, std::chrono::duration<double> latency);
    void onFailure(TimePoint now, std::string_view server);
    /** The agent takes no new work; it is asked again after a short while. */
    void onRefusing(TimePoint now, std::string_view server);
    /** Load from the headers of an answer, which is as old as the answer's way. */
    void onLoad(TimePoint now, std::string_view server, double inFlightAndQueued);

    /** What a neighbour says about a server. */
    void onHealthReport(TimePoint now, EntryKey reporter, const HealthReport &report);
    /** Own suspicions for gossip, at most @p limit. */
    std::vector<HealthReport> suspects(std::size_t limit) const;

    HealthState state(TimePoint now, std::string_view server) const;
    /** Work of a service's servers divided by their slots, for Retry-After. */
    double load(std::string_view service) const;

private:
    struct Group
    {
        RouteTable table;
        std::unordered_map<ServerKey, std::string> names;
    };

    static std::uint64_t randomSeed();
    void refreshHealth(TimePoint now);
    void refreshHealth(TimePoint now, ServerKey key, RouteTable &table);
    Group *groupOf(std::string_view server);

    std::string m_domain;
    HealthTable m_health;
    std::unordered_map<ServerKey, TimePoint> m_refusingUntil;
    std::map<std::string, Group, std::less<>> m_groups; ///< By service.
    std::unordered_map<std::string, std::string, StringHash, std::equal_to<>> m_serviceOf; ///< By server.
    BoundedAffinityPolicy m_policy;
    RouteRandom m_random;
};

} // namespace turmericline
