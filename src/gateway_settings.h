#pragma once

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
    std::string logLevel;
    std::chrono::milliseconds revokeBound{};
    std::chrono::milliseconds grace{};
    std::chrono::milliseconds rotation{};
    std::chrono::milliseconds retryWindow{};
    std::uint64_t retryPercent = 0;
    std::uint64_t retryAllowance = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t agentPort = 0;
};

inline constexpr std::array<SettingRow<GatewaySettings>, 15> gatewaySettingRows{{
    {"name", &GatewaySettings::name, "", "name of this instance", true, 0, 0, checkName},
    {"domain", &GatewaySettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"listen", &GatewaySettings::listen, "", "IP:PORT for callers", true, 0, 0, checkAddress},
    {"ready",
     &GatewaySettings::ready,
     "",
     "IP:PORT that answers whether callers may be sent here",
     true,
     0,
     0,
     checkAddress},
    {"metrics", &GatewaySettings::metrics, "", "IP:PORT of the operators' port", false, 0, 0, checkAddress},
    {"store", &GatewaySettings::store, "", "IP:PORT of the platform's store", true, 0, 0, checkAddress},
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
     "time that the platform needs to send callers elsewhere after SIGTERM",
     false,
     0,
     600'000},
    {"retry-window-ms",
     &GatewaySettings::retryWindow,
     "10000",
     "span in which repeats are limited",
     false,
     100,
     600'000},
    {"retry-percent", &GatewaySettings::retryPercent, "15", "repeats per 100 requests of a service", false, 0, 100},
    {"retry-allowance",
     &GatewaySettings::retryAllowance,
     "4",
     "repeats of this instance in a window beyond that share",
     false,
     0,
     1'000'000},
    {"agent-port",
     &GatewaySettings::agentPort,
     "0",
     "port of the expert agents, which tell the loads of ranks; 0 if there are none",
     false,
     0,
     65'535},
    {"max-connections", &GatewaySettings::maxConnections, "3000", "connections of callers", false, 8, 100'000},
}};

} // namespace turmericline
