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
};

inline constexpr std::array<SettingRow<ExpertAgentSettings>, 11> expertAgentSettingRows{{
    {"name", &ExpertAgentSettings::name, "", "name of this instance", true, 0, 0, checkName},
    {"domain", &ExpertAgentSettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"peer",
     &ExpertAgentSettings::peer,
     "",
     "IP:PORT for other agents, which all use this port; the IP is that of the backend server",
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
     "half-life of a count of experts while the demand stays",
     false,
     50,
     600'000},
    {"demand-shift-percent",
     &ExpertAgentSettings::demandShiftPercent,
     "20",
     "part of the demand that must go to other experts for old counts to be dropped",
     false,
     1,
     100},
    {"copies-per-switch",
     &ExpertAgentSettings::copiesPerSwitch,
     "1",
     "experts that a rank copies at most for one change of map, for every four layers",
     false,
     1,
     1'000},
    {"goal-skew-percent",
     &ExpertAgentSettings::goalSkewPercent,
     "125",
     "load of the most loaded rank in percent of the mean that is good enough; higher saves copies",
     false,
     100,
     1'000},
    {"smallest-gain-percent",
     &ExpertAgentSettings::smallestGainPercent,
     "6",
     "part of the skew that a change of map must save",
     false,
     0,
     100},
}};

} // namespace turmericline
