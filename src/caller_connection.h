#pragma once

#include "caller_shedding.h"
#include "http_decoder.h"
#include "memory_budget.h"
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

/** Handlers for events of a caller connection while one of its requests is served. */
struct CallerHandlers
{
    std::function<void()> onDisconnect; ///< The caller closed the connection.
    std::function<void()> onWritable; ///< All buffered output has been written to the socket.
};

/**
 * Server side of a caller's HTTP/1.1 connection. Requests are read completely and served one at a time, in order.
 * Reading continues while a request is served, so that a disconnect is detected at once.
 *
 * All that a connection holds is taken from a budget of the process. If that is used up, others are closed that hold more;
 * if there are none, the request is refused.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    using RequestHandler
        = std::function<void(const std::shared_ptr<CallerConnection> &connection, HttpHead head, std::string body)>;

    /**
     * Called if the budget lacks @p bytes for a connection that needs @p holderBytes in all; closes connections, which may be
     * that one.
     */
    using ShortageHandler = std::function<void(std::size_t bytes, std::size_t holderBytes)>;

    CallerConnection(asio::ip::tcp::socket socket,
                     RoutingLimits limits,
                     std::shared_ptr<MemoryBudget> budget,
                     RequestHandler onRequest,
                     ShortageHandler onShortage);

    void start(TimePoint now);
    void tick(TimePoint now);
    /** Sets the limits for subsequent requests. */
    void setLimits(const RoutingLimits &limits);
    /** Closes the connection after the current or next response; an idle one at once if @p closesIdle is set. */
    void drain(bool closesIdle);
    void close();
    /** Refuses the request that is being received, or closes the idle connection, to free its memory. */
    void shed();

    /** Sets the handlers that are called until the response ends. */
    void setHandlers(CallerHandlers handlers);
    /** Starts a response; its body is sent in chunks if @p length is not set. */
    void sendHead(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    void sendBody(std::string_view bytes);
    void endResponse();
    /** Sends a complete response that the gateway generates itself. */
    void reply(int status, const HttpHeaders &headers, std::string_view body);
    /** Closes the connection after the current response. */
    void closeAfterResponse();

    std::size_t pendingBytes() const
    {
        return m_writer.pending();
    }

    bool isClosed() const
    {
        return m_state == State::Closed;
    }

    CallerUsage usage() const;

    /** Whether no request is being read or served. */
    bool isIdle() const
    {
        return m_state == State::Reading && !m_decoder.hasStarted();
    }

private:
    enum class State {
        Reading,
        Serving,
        Lingering, ///< Response sent, waiting for the caller to close: closing first could reset the unread response.
        Closed,
    };

    void read();
    void onBytes(std::string_view bytes);
    void decode();
    void refuse(int status, std::string_view reason);
    void write(std::string_view bytes);
    void waitWritable();
    void finishResponse();
    bool awaitsFirstRequest() const;
    void linger();
    void onDisconnect();
    void applyLimits();
    std::size_t heldBytes() const;
    /** Takes what the connection holds from the budget. Returns false if it was refused or closed for lack of memory. */
    bool reserve();

    asio::ip::tcp::socket m_socket;
    SocketWriter m_writer;
    RoutingLimits m_limits;
    RequestHandler m_onRequest;
    ShortageHandler m_onShortage;
    MemoryReservation m_reservation;
    HttpDecoder m_decoder;
    std::string m_undecoded; ///< Received bytes that have not been decoded yet.
    CallerHandlers m_handlers;
    State m_state = State::Reading;
    TimePoint m_now{}; ///< Time of the last tick or the last start of a request.
    TimePoint m_since{}; ///< Start of the current state, or of the request being read.
    TimePoint m_lastProgressAt{}; ///< Last bytes of the caller, or end of the last response.
    std::size_t m_servedBytes = 0; ///< Memory of the request that is being served.
    bool m_hasContinued = false; ///< The caller has been told to send the body of the current request.
    bool m_isReading = false;
    bool m_isWaitingWritable = false;
    bool m_isChunked = false;
    bool m_closesAfterResponse = false;
    bool m_isResponseEnded = false; ///< The complete response has been passed to the writer.
    bool m_isDraining = false;
    bool m_hasHadRequest = false; ///< Bytes of a request have arrived.
    bool m_isHeadRequest = false;
    std::array<char, 8192> m_buffer{};
};

/** Standard reason phrase of @p status; "Unknown" if there is none. */
std::string_view reasonPhrase(int status);

} // namespace turmericline
