#pragma once

#include "settings.h"

namespace turmericline {

/** Settings of turmericline-expert-agent. */
struct ExpertAgentSettings
{
    std::string name;
    std::string domain;
    std::string peer;
    std::string metrics;
    std::string store;
    std::string logLevel;
    std::chrono::milliseconds demandHalfLife{};
    std::uint64_t demandShiftPercent = 0;
    std::uint64_t copiesPerSwitch = 0;
    std::uint64_t goalSkewPercent = 0;
    std::uint64_t smallestGainPercent = 0;
    double linkMbps = 0;
};

inline constexpr std::array<SettingRow<ExpertAgentSettings>, 12> expertAgentSettingRows{{
    {"name", &ExpertAgentSettings::name, "", "name of this instance", true, 0, 0, checkName},
    {"domain", &ExpertAgentSettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"peer",
     &ExpertAgentSettings::peer,
     "",
     "IP:PORT to listen on for other agents; the port must be the same for all, the IP that of the backend server",
     true,
     0,
     0,
     checkAddress},
    {"metrics", &ExpertAgentSettings::metrics, "", "IP:PORT of the operators' port", false, 0, 0, checkAddress},
    {"store", &ExpertAgentSettings::store, "", "IP:PORT of the platform's store", true, 0, 0, checkAddress},
    {"log-level", &ExpertAgentSettings::logLevel, "info", "debug, info, warning or error", false, 0, 0, checkLogLevel},
    {"demand-half-life-ms",
     &ExpertAgentSettings::demandHalfLife,
     "2000",
     "half-life of expert counts while the demand is stable",
     false,
     50,
     600'000},
    {"demand-shift-percent",
     &ExpertAgentSettings::demandShiftPercent,
     "20",
     "share of the demand that must move to other experts before old counts are dropped",
     false,
     1,
     100},
    {"copies-per-switch",
     &ExpertAgentSettings::copiesPerSwitch,
     "1",
     "most experts that a rank copies per change of map, for every four layers",
     false,
     1,
     1'000},
    {"goal-skew-percent",
     &ExpertAgentSettings::goalSkewPercent,
     "125",
     "target load of the most loaded rank in percent of the mean; a higher value saves copies",
     false,
     100,
     1'000},
    {"smallest-gain-percent",
     &ExpertAgentSettings::smallestGainPercent,
     "6",
     "smallest reduction of the skew that justifies a change of map",
     false,
     0,
     100},
    {"link-mbps",
     &ExpertAgentSettings::linkMbps,
     "0",
     "bandwidth of the instance in Mbit/s, of which periodic messages use a share; 0 if it is not limited",
     false,
     0,
     1'000'000},
}};

} // namespace turmericline
