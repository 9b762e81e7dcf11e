#pragma once

#include "region_map.h"
#include "settings.h"

namespace turmericline {

/** Settings of turmericline-gateway. */
struct GatewaySettings
{
    std::string name;
    std::string domain;
    std::string listen;
    std::string ready;
    std::string metrics;
    std::string store;
    std::string peer;
    std::vector<std::string> seeds;
    std::string logLevel;
    std::chrono::milliseconds suspectHold{};
    std::chrono::milliseconds revokeBound{};
    std::chrono::milliseconds grace{};
    std::chrono::milliseconds rotation{};
    std::chrono::milliseconds retryWindow{};
    std::uint64_t retryPercent = 0;
    std::uint64_t retryAllowance = 0;
    double retrySlack = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t agentPort = 0;
    std::vector<std::string> regions;
    std::uint64_t requestMemoryMb = 0;
};

inline constexpr std::array<SettingRow<GatewaySettings>, 21> gatewaySettingRows{{
    {"name", &GatewaySettings::name, "", "name of this instance", true, 0, 0, checkName},
    {"domain", &GatewaySettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"listen", &GatewaySettings::listen, "", "IP:PORT for callers", true, 0, 0, checkAddress},
    {"ready", &GatewaySettings::ready, "", "IP:PORT of the readiness check", true, 0, 0, checkAddress},
    {"metrics", &GatewaySettings::metrics, "", "IP:PORT of the operators' port", false, 0, 0, checkAddress},
    {"store", &GatewaySettings::store, "", "IP:PORT of the platform's store", true, 0, 0, checkAddress},
    {"peer",
     &GatewaySettings::peer,
     "",
     "IP:PORT for messages of other gateways; without it, crash reports are not exchanged",
     false,
     0,
     0,
     checkAddress},
    {"seeds", &GatewaySettings::seeds, "", "IP:PORT of some gateways, as their --peer", false, 0, 0, checkAddress},
    {"suspect-hold-ms",
     &GatewaySettings::suspectHold,
     "300000",
     "time for which a request that crashed servers is refused after its last crash",
     false,
     1'000,
     86'400'000},
    {"log-level", &GatewaySettings::logLevel, "info", "debug, info, warning or error", false, 0, 0, checkLogLevel},
    {"revoke-bound-ms",
     &GatewaySettings::revokeBound,
     "5000",
     "longest time that a key may be accepted after its removal",
     false,
     500,
     600'000},
    {"grace-ms", &GatewaySettings::grace, "8000", "time from SIGTERM to the end of the process", false, 500, 600'000},
    {"rotation-ms",
     &GatewaySettings::rotation,
     "2500",
     "time that the platform needs to stop sending callers here after SIGTERM",
     false,
     0,
     600'000},
    {"retry-window-ms",
     &GatewaySettings::retryWindow,
     "10000",
     "sliding window over which retries are limited",
     false,
     100,
     600'000},
    {"retry-percent", &GatewaySettings::retryPercent, "15", "retries per 100 requests of a service", false, 0, 100},
    {"retry-allowance",
     &GatewaySettings::retryAllowance,
     "4",
     "largest number of retries of this instance per window beyond that percentage",
     false,
     0,
     1'000'000},
    {"retry-slack",
     &GatewaySettings::retrySlack,
     "0",
     "retries of all gateways per window beyond that percentage, shared among the known ones; 0 for no limit",
     false,
     0,
     1'000'000},
    {"agent-port",
     &GatewaySettings::agentPort,
     "0",
     "port at which expert agents report the loads of ranks; 0 if there are none",
     false,
     0,
     65'535},
    {"regions",
     &GatewaySettings::regions,
     "",
     "DOMAIN:REGION of each failure domain, for routes and workspaces that are restricted to regions",
     false,
     0,
     0,
     checkRegion},
    {"request-memory-mb",
     &GatewaySettings::requestMemoryMb,
     "64",
     "memory for the requests of all callers together; callers that hold most are closed beyond it",
     false,
     8,
     1'000'000},
    {"max-connections", &GatewaySettings::maxConnections, "3000", "limit of caller connections", false, 8, 100'000},
}};

} // namespace turmericline
