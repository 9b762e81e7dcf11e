#pragma once

#include "http_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace turmericline {

/** Data that a daemon serves on its operators' port. */
struct OpsHandlers
{
    std::function<bool()> isReady;
    std::function<std::string()> metrics;
    std::function<nlohmann::json()> status;
    std::string readyPath = "/readyz";
};

/** HTTP server on the operators' port: /healthz, /readyz (or OpsHandlers::readyPath), /metrics and /status. */
class OpsServer
{
public:
    OpsServer(asio::io_context &io, const std::string &address, std::uint16_t port, OpsHandlers handlers);

    std::uint16_t port() const
    {
        return m_server.port();
    }

private:
    void handle(const HttpRequest &request, HttpResponder &responder) const;

    OpsHandlers m_handlers;
    HttpServer m_server;
};

} // namespace turmericline
