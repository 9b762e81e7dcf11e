#pragma once

#include "peer_tls.h"
#include "settings.h"

namespace turmericline {

/** Settings of turmericline-entry. */
struct EntrySettings
{
    std::string name;
    std::string domain;
    std::string address;
    std::uint16_t port = 0;
    std::uint16_t opsPort = 0;
    std::uint16_t peerPort = 0;
    std::string configUrl;
    std::string instancesUrl;
    std::vector<std::string> peerKeys;
    std::vector<std::string> peers;
    std::string tlsCertificate;
    std::string tlsKey;
    std::string logLevel;
    std::chrono::milliseconds drainNotice{};
    std::chrono::milliseconds drainDeadline{};
    std::chrono::milliseconds defaultDeadline{};
    std::chrono::milliseconds maxDeadline{};
    std::chrono::milliseconds readTimeout{};
    std::chrono::milliseconds suspectHold{};
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxConnections = 0;
    std::uint64_t maxCalls = 0;
};

inline constexpr std::array<SettingRow<EntrySettings>, 22> entrySettingRows{{
    {"name", &EntrySettings::name, "", "name of this instance", true, 0, 0, checkName},
    {"domain", &EntrySettings::domain, "", "failure domain of this instance", true, 0, 0, checkName},
    {"address", &EntrySettings::address, "127.0.0.1", "IP address to listen on", false, 0, 0, checkIp},
    {"port", &EntrySettings::port, "0", "port for callers; 0 selects a free port", false, 0, 65535},
    {"ops-port", &EntrySettings::opsPort, "0", "operators' port; 0 selects a free port", false, 0, 65535},
    {"peer-port", &EntrySettings::peerPort, "0", "port for other entries; 0 selects a free port", false, 0, 65535},
    {"config-url", &EntrySettings::configUrl, "", "URL of the configuration service", false, 0, 0, checkUrl},
    {"instances-url", &EntrySettings::instancesUrl, "", "URL of the instance list", false, 0, 0, checkUrl},
    {"peer-key",
     &EntrySettings::peerKeys,
     "",
     "name:hex, once or twice; the first key is used for outgoing connections",
     true,
     0,
     0,
     checkPeerKey},
    {"peer", &EntrySettings::peers, "", "IP:PORT of another entry's peer port; repeatable", false, 0, 0, checkAddress},
    {"tls-certificate",
     &EntrySettings::tlsCertificate,
     "",
     "PEM certificate chain; enables TLS for callers together with tls-key"},
    {"tls-key", &EntrySettings::tlsKey, "", "PEM file with the private key of tls-certificate"},
    {"log-level", &EntrySettings::logLevel, "info", "debug, info, warning or error", false, 0, 0, checkLogLevel},
    {"drain-notice-ms",
     &EntrySettings::drainNotice,
     "5000",
     "time for which the listener stays open after SIGTERM",
     false,
     0,
     600'000},
    {"drain-deadline-ms",
     &EntrySettings::drainDeadline,
     "120000",
     "time after SIGTERM until requests in flight are cut off",
     false,
     100,
     3'600'000},
    {"default-deadline-ms",
     &EntrySettings::defaultDeadline,
     "60000",
     "deadline of requests without X-Deadline-Ms",
     false,
     10,
     3'600'000},
    {"max-deadline-ms", &EntrySettings::maxDeadline, "600000", "upper limit for X-Deadline-Ms", false, 10, 3'600'000},
    {"read-timeout-ms",
     &EntrySettings::readTimeout,
     "10000",
     "time limit for receiving a complete request",
     false,
     100,
     600'000},
    {"suspect-hold-ms",
     &EntrySettings::suspectHold,
     "300000",
     "time for which a request is suspected after a crash; must be the same in all instances",
     false,
     100,
     86'400'000},
    {"max-body-bytes",
     &EntrySettings::maxBodyBytes,
     "1048576",
     "requests with a larger body are refused with 413",
     false,
     1'024,
     4'194'304},
    {"max-connections",
     &EntrySettings::maxConnections,
     "4096",
     "maximum number of connections of callers",
     false,
     8,
     100'000},
    {"max-calls",
     &EntrySettings::maxCalls,
     "4096",
     "maximum number of requests in flight; further ones are refused with 503",
     false,
     1,
     100'000},
}};

} // namespace turmericline
