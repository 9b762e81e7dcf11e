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

/** What becomes of an answer whose head has arrived. */
enum class HeadUse {
    Take,
    Skip, ///< It answers another request; the next one on the connection may be the right one.
};

/** Called as the answer to one request arrives; after onEnd or onFailure no more is called. */
struct BackendHandlers
{
    std::function<HeadUse(HttpHead &head)> onHead;
    std::function<void(std::string bytes)> onBody;
    std::function<void()> onEnd;
    std::function<void(const AttemptFailure &failure)> onFailure;
};

/**
 * Connection to one server that carries one request at a time. It is used again only if its last answer was complete by
 * a length, nothing came after it, and the whole request had been sent before.
 */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    BackendConnection(asio::io_context &io, asio::ip::tcp::endpoint endpoint);

    /** Sends @p message, which is a whole request; connects first if need be. */
    void start(TimePoint now, std::string message, BackendHandlers handlers);
    /** Closes the connection; no handler is called any more. */
    void stop();
    /** Reads and drops the rest of the answer, so that the connection can be used again. */
    void detach(TimePoint now);
    void pauseReading();
    void resumeReading();
    /** Ends what takes too long. */
    void tick(TimePoint now);

    /** Carries no request and can take one. */
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

    /** An idle connection is not used from this time on. */
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
    std::shared_ptr<const BackendHandlers>
        m_handlers; ///< Copied while one is called, since it may stop the connection.
    std::string m_message;
    State m_state = State::Connecting;
    TimePoint m_since{}; ///< Begin of the state.
    std::uint64_t m_writtenBefore = 0; ///< By earlier requests.
    std::chrono::milliseconds m_idleLimit{4'000};
    bool m_isReading = false;
    bool m_isPaused = false;
    bool m_isWaitingWritable = false;
    bool m_skips = false; ///< The answer being read belongs to another request.
    bool m_hasSkipped = false;
    bool m_isTaken = false; ///< The head of the right answer was handed on.
    std::array<char, 8192> m_buffer{};
};

} // namespace turmericline
