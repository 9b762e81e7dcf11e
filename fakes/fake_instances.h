#pragma once

#include "fake_server.h"

namespace turmericline::fakes {

struct FakeInstancesConfig
{
    std::uint16_t port = 0;
    std::chrono::milliseconds lag{0};
    Json initial = Json::array(); ///< First list, visible without lag.
    std::function<TimePoint()> now = [] {
        return std::chrono::steady_clock::now();
    };
};

/**
 * Fake of the platform's instance list. "GET /v1/instances" returns an array of
 * {"name","role":"entry|agent","domain","address","state":"live|leaving"}, delayed by the configured lag.
 * "PUT /control/instances" sets the actual list. "POST /control/fault" takes {"mode":"ok|down|stall","lag_ms":..}.
 */
class FakeInstances final : public FakeServer
{
public:
    FakeInstances(asio::io_context &io, FakeInstancesConfig config);

    void setInstances(Json instances);
    void setFault(const Json &fault);
    std::uint64_t callCount() const;

private:
    void handle(HttpRequest request, ResponderPtr responder) override;
    void handleControl(const HttpRequest &request, HttpResponder &responder);

    FakeInstancesConfig m_config;
    Lagged<Json> m_instances;
    std::uint64_t m_calls = 0;
    std::string m_mode = "ok";
};

} // namespace turmericline::fakes
