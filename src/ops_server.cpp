#include "ops_server.h"

namespace turmericline {

namespace {

HttpServerConfig opsConfig(const std::string &address, std::uint16_t port)
{
    HttpServerConfig config;
    config.address = address;
    config.port = port;
    config.maxConnections = 64;
    config.maxBodyBytes = 4U << 10U; // No call has a body.
    return config;
}

const HttpHeaders plainText{{"Content-Type", "text/plain; charset=utf-8"}};

} // namespace

OpsServer::OpsServer(asio::io_context &io, const std::string &address, std::uint16_t port, OpsHandlers handlers)
    : m_handlers(std::move(handlers))
    , m_server(io,
               opsConfig(address, port),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, *responder);
               })
{
}

void OpsServer::handle(const HttpRequest &request, HttpResponder &responder) const
{
    if (request.method != "GET") {
        responder.reply(405, plainText, "only GET is served here\n");
    } else if (request.path == "/healthz") {
        responder.reply(200, plainText, "ok\n");
    } else if (request.path == m_handlers.readyPath) {
        const bool ready = m_handlers.isReady();
        responder.reply(ready ? 200 : 503, plainText, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        responder.reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_handlers.metrics());
    } else if (request.path == "/status") {
        responder.reply(200, {{"Content-Type", "application/json"}}, m_handlers.status().dump());
    } else {
        responder.reply(404, plainText, "not found\n");
    }
}

} // namespace turmericline
