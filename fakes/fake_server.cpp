#include "fake_server.h"

#include <charconv>

namespace turmericline::fakes {

namespace {

HttpServerConfig serverConfig(std::uint16_t port)
{
    HttpServerConfig config;
    config.port = port;
    return config;
}

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t n = 0;
    const auto *end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, n);
    return ec == std::errc{} && last == end ? std::optional(n) : std::nullopt;
}

std::optional<std::string_view> queryText(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), part.size() + 1));
        if (part.starts_with(name) && part.substr(name.size()).starts_with('=')) {
            return part.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> queryNumber(std::string_view query, std::string_view name)
{
    const auto text = queryText(query, name);
    return text ? parseNumber(*text) : std::nullopt;
}

void replyJson(HttpResponder &responder, int status, const Json &value, HttpHeaders headers)
{
    headers.emplace_back("Content-Type", "application/json");
    responder.reply(status, std::move(headers), value.dump());
}

void replyError(HttpResponder &responder, int status, std::string_view message)
{
    replyJson(responder, status, {{"error", {{"message", message}}}});
}

FakeServer::FakeServer(asio::io_context &io, std::uint16_t port)
    : m_server(
        io,
        serverConfig(port),
        [this, alive = std::weak_ptr(m_alive)](HttpRequest request, const ResponderPtr &responder) {
            if (alive.expired()) {
                return;
            }
            try {
                handle(std::move(request), responder);
            } catch (const Json::exception &e) {
                replyError(*responder, 400, e.what());
            }
        },
        [this](std::uint64_t connection) {
            connectionClosed(connection);
        })
{
}

FakeServer::~FakeServer()
{
    m_server.stopListening();
}

void FakeServer::hold(ResponderPtr responder)
{
    m_held.push_back(std::move(responder));
}

void FakeServer::closeHeld()
{
    m_held.clear();
}

std::uint16_t FakeServer::port() const
{
    return m_server.port();
}

void FakeServer::stopListening()
{
    m_server.stopListening();
}

std::string FakeServer::url() const
{
    return "http://127.0.0.1:" + std::to_string(port());
}

} // namespace turmericline::fakes
