#pragma once

#include "http_decoder.h"
#include "routing_type.h"
#include "socket_writer.h"
#include "time_type.h"

#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmericline {

/** What a connection of a caller tells about the request that is being served. */
struct CallerEvents
{
    std::function<void()> onGone; ///< The caller closed the connection.
    std::function<void()> onWritable; ///< The caller has read what was kept for it.
};

/**
 * Connection of a caller. Requests are read whole and served one at a time, in their order; while one is served, reading
 * goes on, so that the end of the connection is noticed at once.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using RequestHandler
        = std::function<void(const std::shared_ptr<CallerConnection> &connection, HttpHead head, std::string body)>;

    CallerConnection(asio::ip::tcp::socket socket, RoutingLimits limits, RequestHandler onRequest);

    void start(TimePoint now);
    void tick(TimePoint now);
    /** Limits for the requests that follow. */
    void setLimits(const RoutingLimits &limits);
    /** From now on the connection is closed after each answer; an idle one is closed at once if @p closesIdle. */
    void drain(bool closesIdle);
    void close();

    /** Receives events until the answer ends. */
    void setEvents(CallerEvents events);
    /** Starts an answer; without a length it is sent in chunks. */
    void sendHead(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    void endAnswer();
    /** Answers in the gateway's own name. */
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /** The connection is closed after the answer under way. */
    void closeAfterAnswer();

    std::size_t pendingBytes() const
    {
        return m_writer.pending();
    }

    bool isClosed() const
    {
        return m_state == State::Closed;
    }

    /** Reads or serves no request. */
    bool isIdle() const
    {
        return m_state == State::Reading && !m_decoder.hasStarted();
    }

private:
    enum class State {
        Reading,
        Serving,
        Lingering, ///< All is sent; waits for the caller to close, so that a reset does not destroy the answer.
        Closed,
    };

    void read();
    void onBytes(std::string_view bytes);
    void decode();
    void refuse(int status, std::string_view reason);
    void write(std::string_view bytes);
    void waitWritable();
    void finishAnswer();
    void linger();
    void onGone();
    void applyLimits();

    asio::ip::tcp::socket m_socket;
    SocketWriter m_writer;
    RoutingLimits m_limits;
    RequestHandler m_onRequest;
    HttpDecoder m_decoder;
    std::string m_unread; ///< Received bytes that belong to later requests.
    CallerEvents m_events;
    State m_state = State::Reading;
    TimePoint m_now{}; ///< Of the last tick or read.
    TimePoint m_since{}; ///< Begin of the state, or of the request being read.
    bool m_isReading = false;
    bool m_isWaitingWritable = false;
    bool m_isChunked = false;
    bool m_closesAfterAnswer = false;
    bool m_isAnswerEnded = false; ///< All of the answer was handed to the writer.
    bool m_isDraining = false;
    bool m_isHeadRequest = false;
    std::array<char, 8192> m_buffer{};
};

/** Standard reason phrase. */
std::string_view reasonPhrase(int status);

} // namespace turmericline
