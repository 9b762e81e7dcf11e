#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <map>

namespace turmericline::fakes {

/**
 * The platform's configuration service. Readers use "GET /v1/document", with "?after=V&wait_ms=T" as a watch that gets
 * 304 if no version above V is published in time. "PUT /control/document" publishes a document under its "version"
 * member, or under the header X-Version if given. "POST /control/fault" takes
 * {"mode":"ok|down|slow|stale|stall","delay_ms":..,"version":..}. "GET /control/counts" gives the calls.
 */
class FakeConfig final : public FakeServer
{
public:
    explicit FakeConfig(asio::io_context &io, std::uint16_t port = 0);

    void publish(std::uint64_t version, std::string document);
    void setFault(const Json &fault);
    /** Calls of readers so far; a watch counts as one, however long it waits. */
    std::uint64_t callCount() const;
    std::size_t waitingCount() const;

private:
    struct Watch
    {
        std::uint64_t connection;
        std::uint64_t after;
        ResponderPtr responder;
        asio::steady_timer timer;
    };

    void handle(HttpRequest request, ResponderPtr responder) override;
    void connectionClosed(std::uint64_t connection) override;
    void handlePublish(const HttpRequest &request, HttpResponder &responder);
    void handleFault(const HttpRequest &request, HttpResponder &responder);
    void read(const HttpRequest &request, const ResponderPtr &responder);
    void wait(const HttpRequest &request, const ResponderPtr &responder, std::uint64_t after, std::uint64_t waitMs);
    void answerWatches();
    /** Sends the visible document if it is above @p after, else 304. */
    void answer(const ResponderPtr &responder, std::uint64_t after);
    std::uint64_t visibleVersion() const;

    asio::io_context &m_io;
    std::map<std::uint64_t, std::string> m_versions; ///< Old ones are kept for the mode "stale".
    std::uint64_t m_current = 0;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_calls = 0;
    std::string m_mode = "ok";
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_staleVersion = 0;
};

} // namespace turmericline::fakes
