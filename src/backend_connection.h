#pragma once

#include "exchange_type.h"
#include "http_decoder.h"
#include "socket_writer.h"
#include "time_type.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace turmericline {

/** How to treat a response whose head has arrived. */
enum class HeadDisposition {
    Take,
    Skip, ///< The response belongs to another request; the next one on the connection may be the expected one.
};

/** Called as the response to one request arrives. No handler is called after onEnd or onFailure. */
struct BackendHandlers
{
    std::function<HeadDisposition(HttpHead &head)> onHead;
    std::function<void(std::string bytes)> onBody;
    std::function<void()> onEnd;
    std::function<void(const AttemptFailure &failure)> onFailure;
};

/**
 * Client connection to one server; carries one request at a time. It is reused only if the end of the last response did
 * not depend on the end of the connection, no bytes followed it, and the request had been sent completely.
 */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(asio::io_context &io, asio::ip::tcp::endpoint endpoint);

    /** Sends @p message, a complete request; connects first if necessary. */
    void start(TimePoint now, std::string message, BackendHandlers handlers);
    /** Resets the connection; no handler is called from then on. */
    void stop();
    /** Discards the rest of the response, so that the connection can be reused. */
    void detach(TimePoint now);
    void pauseReading();
    void resumeReading();
    /** Applies the connect, detach and idle timeouts. */
    void tick(TimePoint now);

    /** Whether the request in progress is not the first one, so that bytes left from an earlier one may precede its answer. */
    bool isReused() const
    {
        return m_requestCount > 1;
    }

    /** Whether the connection is established and has no request in progress. */
    bool isIdle() const
    {
        return m_state == State::Idle;
    }

    bool isClosed() const
    {
        return m_state == State::Closed;
    }

    TimePoint idleSince() const
    {
        return m_since;
    }

    /** Sets how long the connection may be idle before it is closed. */
    void setIdleLimit(std::chrono::milliseconds limit)
    {
        m_idleLimit = limit;
    }

    std::chrono::milliseconds idleLimit() const
    {
        return m_idleLimit;
    }

private:
    enum class State {
        Connecting,
        Busy,
        Detached,
        Idle,
        Closed,
    };

    void connect();
    void send();
    void waitWritable();
    void read();
    void onBytes(std::string_view bytes);
    void onClosed(const asio::error_code &ec);
    void onComplete(bool hasMore);
    void fail(BackendFault fault, std::string reason);
    void close();

    asio::ip::tcp::socket m_socket;
    asio::ip::tcp::endpoint m_endpoint;
    SocketWriter m_writer;
    HttpDecoder m_decoder;
    /** Copied before a handler is called, since the handler may stop the connection. */
    std::shared_ptr<const BackendHandlers> m_handlers;
    std::string m_message;
    State m_state = State::Connecting;
    TimePoint m_since{}; ///< Start of the current state.
    std::uint64_t m_writtenBefore = 0; ///< Bytes written by earlier requests.
    std::uint64_t m_requestCount = 0;
    bool m_isSent = false; ///< The current request has been handed to the socket, at least in part.
    std::chrono::milliseconds m_idleLimit{4'000};
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWaitingWritable = false;
    bool m_isReset = false; ///< A write has failed because the connection was reset or timed out.
    bool m_isSkipping = false; ///< The response being read belongs to another request.
    bool m_hasSkipped = false;
    std::size_t m_bytesBeforeHead = 0; ///< Of the current request: received before the head of its final response.
    bool m_isHeadAccepted = false; ///< The head of the expected response has been passed on.
    std::array<char, 8192> m_buffer{};
};

} // namespace turmericline
