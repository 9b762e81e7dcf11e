#pragma once

#include "peer_tls.h"
#include "settings.h"

namespace turmericline {

/** Settings of turmericline-agent. */
struct AgentSettings
{
    std::string server; ///< Name of its backend server in the document.
    std::string domain;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t opsPort = 0;
    std::string backendUrl;
    std::string configUrl;
    std::string instancesUrl;
    std::vector<std::string> peerKeys;
    std::vector<std::string> peers;
    std::string logLevel;
    std::chrono::milliseconds drainNotice{};
    std::chrono::milliseconds drainDeadline{};
    std::chrono::milliseconds backendSilence{};
    std::chrono::milliseconds suspectHold{};
    std::uint64_t queueLength = 0;
    std::uint64_t ledgerEntries = 0;
};

inline constexpr std::array<SettingRow<AgentSettings>, 17> agentSettingRows{{
    {"server", &AgentSettings::server, "", "name of the backend server in the document", true, 0, 0, checkName},
    {"domain", &AgentSettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"address", &AgentSettings::address, "127.0.0.1", "IP address to listen on", false, 0, 0, checkIp},
    {"port", &AgentSettings::port, "0", "port for entries; 0 selects a free port", false, 0, 65535},
    {"ops-port", &AgentSettings::opsPort, "0", "operators' port; 0 selects a free port", false, 0, 65535},
    {"backend-url", &AgentSettings::backendUrl, "", "URL of the backend server", true, 0, 0, checkUrl},
    {"config-url", &AgentSettings::configUrl, "", "URL of the configuration service", false, 0, 0, checkUrl},
    {"instances-url", &AgentSettings::instancesUrl, "", "URL of the instance list", false, 0, 0, checkUrl},
    {"peer-key",
     &AgentSettings::peerKeys,
     "",
     "name:hex, once or twice; the first key is used for outgoing connections",
     true,
     0,
     0,
     checkPeerKey},
    {"peer",
     &AgentSettings::peers,
     "",
     "IP:PORT of the peer port of an entry that provides the document; repeatable",
     false,
     0,
     0,
     checkAddress},
    {"log-level", &AgentSettings::logLevel, "info", "debug, info, warning or error", false, 0, 0, checkLogLevel},
    {"drain-notice-ms",
     &AgentSettings::drainNotice,
     "1000",
     "time after SIGTERM in which new work is refused before the listener closes",
     false,
     0,
     600'000},
    {"drain-deadline-ms",
     &AgentSettings::drainDeadline,
     "120000",
     "time after SIGTERM until requests in flight are cut off",
     false,
     100,
     3'600'000},
    {"backend-silence-ms",
     &AgentSettings::backendSilence,
     "15000",
     "time without data from the backend server after which a call fails",
     false,
     100,
     600'000},
    {"suspect-hold-ms",
     &AgentSettings::suspectHold,
     "300000",
     "time for which a request is suspected after a crash; must be the same in all instances",
     false,
     100,
     86'400'000},
    {"queue-length",
     &AgentSettings::queueLength,
     "256",
     "maximum number of requests queued for the backend server",
     false,
     1,
     100'000},
    {"ledger-entries",
     &AgentSettings::ledgerEntries,
     "65536",
     "maximum number of idempotency keys remembered",
     false,
     1'000,
     10'000'000},
}};

} // namespace turmericline
