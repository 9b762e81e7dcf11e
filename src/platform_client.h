#pragma once

#include "config_watch.h"
#include "http_client.h"
#include "verdict_type.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericline {

/** A row of the platform's instance list. */
struct InstanceInfo
{
    std::string name;
    std::string role; ///< "entry" or "agent".
    std::string domain;
    std::string address; ///< "IP:PORT" to which peers connect.
    bool isLeaving = false;
};

struct PlatformClientConfig
{
    std::string configUrl; ///< Empty if no configuration service is used.
    std::string instancesUrl; ///< Empty if no instance list is read.
    std::chrono::milliseconds watchWait{1'000};
    std::chrono::milliseconds instancesInterval{1'000};
};

/** Watches the configuration service and polls the instance list. */
class PlatformClient
{
public:
    struct Handlers
    {
        std::function<void(std::string text)> onDocument;
        std::function<void(ReadResult result)> onReadEnded;
        std::function<void(std::vector<InstanceInfo> instances)> onInstances;
        /** Returns the highest version known to this process; a watch waits for a newer one. */
        std::function<std::uint64_t()> knownVersion;
        std::function<std::chrono::steady_clock::time_point()> nextRead;
        std::function<bool()> isWatcher;
    };

    PlatformClient(asio::io_context &io, HttpClient &http, PlatformClientConfig config, Handlers handlers);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    void start();
    std::uint64_t callCount() const
    {
        return m_calls;
    }

private:
    void scheduleRead();
    void read();
    void onRead(const HttpClientResult &result, std::string body, std::uint64_t known, std::uint64_t served);
    void pollInstances();

    HttpClient &m_http;
    PlatformClientConfig m_config;
    Handlers m_handlers;
    asio::steady_timer m_watchTimer;
    asio::steady_timer m_instancesTimer;
    HttpClient::RequestId m_watchRequest = 0;
    HttpClient::RequestId m_instancesRequest = 0;
    std::uint64_t m_calls = 0;
};

/** Parses the instance list. One invalid row makes the whole list invalid. */
Result<std::vector<InstanceInfo>> parseInstances(std::string_view text);

} // namespace turmericline
