#pragma once

#include "backend_table.h"
#include "routing_type.h"
#include "time_type.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Result of ColdStartLimits::take(). */
struct ColdStartDecision
{
    bool isAllowed = true;
    bool hasSlot = false; ///< A slot has been spent, since the server is cold.
    TimePoint until{}; ///< If not allowed: start of the next slot.
};

/** A server that has become cold, for logs. */
struct ColdServer
{
    std::string server;
    std::chrono::milliseconds left{};
    double requestsPerSecond = 0; ///< Quota of this gateway.
};

/**
 * Rate limit of servers that are cold: just started, or returned to a cold state, and unable to take their usual rate.
 *
 * Expected load: all servers of a failure domain come back at once, idle, so that every gateway of the fleet, 3 to 1,900,
 * prefers them by their load alone.
 *
 * Each gateway has a static quota: the rate that a cold server takes, divided by the number of gateways. It is used in
 * slots, one in each period, at a time that each gateway draws at random; an unused slot ends after a short time and is not
 * saved up. No messages are exchanged, so a frozen or unreachable gateway cannot make the others exceed the rate.
 */
class ColdStartLimits
{
public:
    explicit ColdStartLimits(std::uint64_t seed);

    /** Sets the services of a new configuration; those without a rate for cold servers have none. */
    void setServices(const std::vector<RoutingService> &services);
    /** @p gateways: number of gateways that may send requests to the same servers, this one included. */
    void setGateways(std::size_t gateways);

    /** Called with each announcement of a server. */
    void onAnnounced(TimePoint now, const BackendRecord &record);
    /** Called if an answer of the server states how much longer it stays cold. */
    void onColdTime(TimePoint now, const ServerIncarnation &server, std::chrono::milliseconds left);
    /** Called if requests may be sent to a failure domain again that got none before: its servers may have become cold. */
    void onDomainReturned(TimePoint now, std::string_view domain);

    /** Decides whether a request may be sent to the server now, and spends the slot if the server is cold. */
    ColdStartDecision take(TimePoint now, const ServerIncarnation &server);
    /** Returns the slot of a request that has not reached the server. */
    void giveBack(TimePoint now, const ServerIncarnation &server);
    bool isCold(TimePoint now, const std::string &server) const;
    std::size_t coldCount(TimePoint now) const;
    /** Number of requests that were not sent to a cold server for lack of a slot. */
    std::uint64_t deniedCount() const
    {
        return m_denied;
    }

    /** Forgets servers that are not in @p servers. */
    void expire(const BackendTable &servers);
    std::vector<ColdServer> takeChanges();

private:
    struct Service
    {
        std::chrono::milliseconds coldStart{};
        double requestsPerSecond = 0;
    };

    struct Server
    {
        std::int64_t startTimeMs = 0; ///< As in BackendRecord.
        std::string service;
        std::string domain;
        TimePoint firstSeenAt{};
        bool isTimeStated = false; ///< Its announcements tell how long it stays cold.
        TimePoint coldUntil{}; ///< As stated, or after an evacuation.
        std::optional<TimePoint> slotAt; ///< Start of the next slot.
        TimePoint periodEnd{}; ///< End of the period of that slot.
    };

    const Service *serviceOf(const Server &server) const;
    /** Returns the end of the time for which the server is cold; the epoch if its service has no rate for that. */
    TimePoint coldUntil(const Server &server) const;
    void markCold(TimePoint now, const std::string &id, Server &server, std::chrono::milliseconds left);
    std::chrono::duration<double> periodOf(const Service &service) const;
    void drawSlot(TimePoint now, Server &server, std::chrono::duration<double> period);

    std::map<std::string, Service, std::less<>> m_services; ///< By name; only those whose servers can be cold.
    std::map<std::string, Server, std::less<>>
        m_servers; ///< By id; all announced servers, since the configuration may come later.
    std::size_t m_gateways = 1;
    std::mt19937_64 m_random;
    std::uint64_t m_denied = 0;
    std::vector<ColdServer> m_changes;
};

} // namespace turmericline
