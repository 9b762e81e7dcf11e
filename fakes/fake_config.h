#pragma once

#include "fake_server.h"

#include <asio/steady_timer.hpp>

#include <map>

namespace turmericline::fakes {

/**
 * Fake of the platform's configuration service.
 *
 * - "GET /v1/document" returns the document; with "?after=V&wait_ms=T" it is a watch (long poll), answered with 304 if
 *   no version above V is published in time.
 * - "PUT /control/document" publishes a document under its "version" member, or under the header X-Version if given.
 * - "POST /control/fault" takes {"mode":"ok|down|slow|stale|stall","delay_ms":..,"version":..}.
 * - "GET /control/counts" returns the number of calls and of waiting watches.
 */
class FakeConfig final : public FakeServer
{
public:
    explicit FakeConfig(asio::io_context &io, std::uint16_t port = 0);

    void publish(std::uint64_t version, std::string document);
    void setFault(const Json &fault);
    /** Number of read calls so far; a watch counts as one call, regardless of its duration. */
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
    void handleRead(const HttpRequest &request, const ResponderPtr &responder);
    void
    startWatch(const HttpRequest &request, const ResponderPtr &responder, std::uint64_t after, std::uint64_t waitMs);
    void answerWatches();
    /** Sends the visible document if its version is above @p after, otherwise 304. */
    void replyVisible(const ResponderPtr &responder, std::uint64_t after);
    std::uint64_t visibleVersion() const;

    asio::io_context &m_io;
    std::map<std::uint64_t, std::string> m_versions; ///< Published documents; old ones are kept for the mode "stale".
    std::uint64_t m_current = 0;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_lastWatch = 0;
    std::uint64_t m_calls = 0;
    std::string m_mode = "ok";
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_staleVersion = 0;
};

} // namespace turmericline::fakes
