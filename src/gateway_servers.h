#pragma once

#include "backend_registry.h"
#include "cold_start.h"
#include "evacuation.h"
#include "routing_table.h"

#include <set>
#include <string>

namespace turmericline {

/**
 * What a gateway knows of the servers from the store: their announcements, which of them are cold, and which failure
 * domains are evacuated. Updates the table of backend servers and logs what changes.
 */
class GatewayServers
{
public:
    GatewayServers(const GatewayDialect &dialect, BackendTable &table, std::uint64_t seed);

    ColdStartLimits &coldStart()
    {
        return m_coldStart;
    }

    const std::set<std::string> &evacuatedDomains() const
    {
        return m_evacuated.domains();
    }

    /** Applies changed announcements; see BackendRegistry::apply(). */
    std::size_t apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage);
    /** Applies what the operators have changed, apart from the configuration. */
    void applyOperatorChange(TimePoint now, const StoreChange &change);
    /** Applies the evacuated failure domains as another gateway knows them. */
    void setEvacuated(TimePoint now, const std::set<std::string> &domains);
    void setConfig(const RoutingConfig &config);
    /** @p gateways: number of gateways of the fleet. */
    void tick(TimePoint now, std::size_t gateways);

private:
    void applyEvacuations(TimePoint now);
    void logColdServers();

    BackendTable &m_table;
    ColdStartLimits m_coldStart;
    BackendRegistry m_registry;
    EvacuatedDomains m_evacuated;
    TimePoint m_nextExpiryAt{};
};

} // namespace turmericline
