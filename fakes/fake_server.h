#pragma once

#include "http_server.h"
#include "lagged.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace turmericline::fakes {

using Json = nlohmann::json;
using ResponderPtr = std::shared_ptr<HttpResponder>;

/** Returns the value of @p name in a query such as "after=3&wait_ms=100"; std::nullopt if missing. */
std::optional<std::string_view> queryText(std::string_view query, std::string_view name);
/** Returns the value of @p name in a query such as "after=3&wait_ms=100"; std::nullopt if missing or not a number. */
std::optional<std::uint64_t> queryNumber(std::string_view query, std::string_view name);
/** Parses all of @p text as an unsigned number. */
std::optional<std::uint64_t> parseNumber(std::string_view text);
void replyJson(HttpResponder &responder, int status, const Json &value, HttpHeaders headers = {});
/** Replies with {"error":{"message":..}}. */
void replyError(HttpResponder &responder, int status, std::string_view message);

/** Base of the fakes: an HTTP server whose handlers have no effect after the object is destroyed. */
class FakeServer
{
public:
    FakeServer(const FakeServer &) = delete;
    FakeServer &operator=(const FakeServer &) = delete;

    std::uint16_t port() const;
    /** "http://127.0.0.1:PORT" */
    std::string url() const;
    /** Refuses new connections from now on; open ones stay open. */
    void stopListening();

protected:
    FakeServer(asio::io_context &io, std::uint16_t port);
    virtual ~FakeServer();

    virtual void handle(HttpRequest request, ResponderPtr responder) = 0;
    virtual void connectionClosed(std::uint64_t /*connection*/)
    {
    }
    /** Keeps a request unanswered and its connection open, which would close if the responder were destroyed. */
    void hold(ResponderPtr responder);
    /** Closes the connections of all requests kept by hold(). */
    void closeHeld();
    /** Wraps a timer handler so that it is skipped on error and after destruction. */
    template<typename F>
    auto guarded(F f) const
    {
        return [alive = std::weak_ptr(m_alive), f = std::move(f)](const asio::error_code &ec) {
            if (!ec && !alive.expired()) {
                f();
            }
        };
    }

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<ResponderPtr> m_held;
    HttpServer m_server;
};

} // namespace turmericline::fakes
