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
};

inline constexpr std::array<SettingRow<ExpertAgentSettings>, 6> expertAgentSettingRows{{
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
}};

} // namespace turmericline
