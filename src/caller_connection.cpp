#include "caller_connection.h"

#include <charconv>
#include <utility>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Limit of buffered bytes of pipelined requests; above it, the connection stops reading from the socket. */
constexpr std::size_t maxPipelinedBytes = 64U << 10U;
/** Time that a caller has to close the connection after the last response. */
constexpr std::chrono::milliseconds lingerTimeout{1'000};
/** While the gateway drains, a new connection is not closed for this time. */
constexpr std::chrono::milliseconds firstRequestTime{500};
/** The connection is closed if a complete response cannot be written within this time. */
constexpr std::chrono::milliseconds writeTimeout{10'000};
/** Limit of received bytes that the kernel holds for a connection that is not read. */
constexpr int receiveBufferBytes = 64 << 10;
/** A request that is served is held by the gateway, and once more by the connection to its server. */
constexpr std::size_t servedCopies = 2;
constexpr int statusUnavailable = 503;
/** Retry-After, in seconds, of requests refused for lack of memory. */
constexpr const char *shedRetryAfter = "1";

} // namespace

std::string_view reasonPhrase(int status)
{
    const auto *text = http_status_str(static_cast<http_status>(status));
    return text == nullptr ? "Unknown" : text;
}

CallerConnection::CallerConnection(asio::ip::tcp::socket socket,
                                   RoutingLimits limits,
                                   std::shared_ptr<MemoryBudget> budget,
                                   RequestHandler onRequest,
                                   ShortageHandler onShortage)
    : m_socket(std::move(socket))
    , m_writer(m_socket)
    , m_limits(limits)
    , m_onRequest(std::move(onRequest))
    , m_onShortage(std::move(onShortage))
    , m_reservation(std::move(budget))
    , m_decoder(HttpDecoder::Kind::Request)
{
    applyLimits();
}

void CallerConnection::applyLimits()
{
    m_decoder.setLimits({m_limits.maxHeaderBytes, m_limits.maxBodyBytes});
}

void CallerConnection::setLimits(const RoutingLimits &limits)
{
    m_limits = limits;
    if (!m_decoder.hasStarted()) {
        applyLimits();
    }
}

void CallerConnection::start(TimePoint now)
{
    m_now = now;
    m_since = now;
    m_lastProgressAt = now;
    asio::error_code ec;
    prepareSocket(m_socket, ec);
    asio::error_code ignored; // Without it, the kernel only holds more.
    m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    if (ec || !reserve()) {
        close();
        return;
    }
    read();
}

void CallerConnection::read()
{
    if (m_isReading || m_state == State::Closed || m_undecoded.size() > maxPipelinedBytes) {
        return;
    }
    m_isReading = true;
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const asio::error_code &ec, std::size_t n) {
                                 self->m_isReading = false;
                                 if (self->m_state == State::Closed) {
                                     return;
                                 }
                                 if (ec) {
                                     self->onDisconnect();
                                     return;
                                 }
                                 self->onBytes({self->m_buffer.data(), n});
                                 self->read();
                             });
}

void CallerConnection::onBytes(std::string_view bytes)
{
    if (m_state == State::Lingering) {
        return;
    }
    m_lastProgressAt = std::chrono::steady_clock::now();
    m_undecoded.append(bytes);
    if (m_state == State::Reading) {
        decode();
    }
    reserve();
}

std::size_t CallerConnection::heldBytes() const
{
    return sizeof(*this) + m_undecoded.capacity() + m_decoder.heldBytes() + m_servedBytes + m_writer.pending();
}

bool CallerConnection::reserve()
{
    if (m_state != State::Reading) {
        m_reservation.set(m_state == State::Closed ? 0 : heldBytes());
        return m_state != State::Closed;
    }
    const auto bytes = heldBytes();
    if (m_reservation.resize(bytes)) {
        return true;
    }
    m_onShortage(bytes - m_reservation.bytes(), bytes);
    if (m_state == State::Reading && !m_reservation.resize(bytes)) {
        shed();
    }
    return m_state == State::Reading;
}

void CallerConnection::shed()
{
    if (m_state != State::Reading) {
        return;
    }
    if (m_decoder.hasStarted()) {
        refuse(statusUnavailable, "no memory is left for the request");
    } else {
        linger();
    }
}

CallerUsage CallerConnection::usage() const
{
    const bool isServed = m_state != State::Reading;
    return {isServed ? 0 : m_reservation.bytes(), m_lastProgressAt, isServed, isIdle()};
}

void CallerConnection::decode()
{
    if (m_undecoded.empty()) {
        return;
    }
    if (!m_decoder.hasStarted()) {
        m_hasHadRequest = true;
        m_now = std::chrono::steady_clock::now();
        m_since = m_now;
        applyLimits();
    }
    const auto n = m_decoder.feed(m_undecoded);
    m_undecoded.erase(0, n);
    switch (m_decoder.fault()) {
    case HttpFault::None:
        break;
    case HttpFault::Syntax:
        refuse(400, "the request is malformed");
        return;
    case HttpFault::HeadTooLarge:
        refuse(431, "the header fields are too large");
        return;
    case HttpFault::BodyTooLarge:
        refuse(413, "the body is too large");
        return;
    }
    const bool needsContinue = m_decoder.hasHead() && !m_decoder.isComplete() && m_decoder.head().header("Expect");
    if (needsContinue && !std::exchange(m_hasContinued, true)) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!m_decoder.isComplete()) {
        return;
    }
    m_servedBytes = (servedCopies - 1) * m_decoder.heldBytes();
    if (!reserve()) {
        return;
    }
    m_state = State::Serving;
    m_isResponseEnded = false;
    m_hasContinued = false;
    m_servedBytes = servedCopies * m_decoder.heldBytes();
    auto head = std::move(m_decoder.head());
    auto body = m_decoder.takeBody();
    m_decoder.reset();
    m_closesAfterResponse = m_isDraining || !head.isKeptAlive;
    m_isHeadRequest = head.method == "HEAD";
    m_onRequest(shared_from_this(), std::move(head), std::move(body));
}

void CallerConnection::refuse(int status, std::string_view reason)
{
    m_state = State::Serving;
    m_isResponseEnded = false;
    m_closesAfterResponse = true;
    std::string().swap(m_undecoded); // Assigning an empty string would keep the memory.
    m_decoder.reset();
    m_servedBytes = 0;
    m_reservation.set(heldBytes());
    reply(status, status == statusUnavailable ? HttpHeaders{{"Retry-After", shedRetryAfter}} : HttpHeaders{}, reason);
}

void CallerConnection::tick(TimePoint now)
{
    m_now = now;
    const auto age = now - m_since;
    switch (m_state) {
    case State::Reading:
        if (m_decoder.hasStarted() && !m_decoder.hasHead() && age > m_limits.headerTimeout) {
            refuse(408, "the header fields took too long");
        } else if (m_decoder.hasStarted() && age > m_limits.headerTimeout + m_limits.idleTimeout) {
            refuse(408, "the body took too long");
        } else if (!m_decoder.hasStarted() && age > m_limits.idleTimeout) {
            linger();
        }
        break;
    case State::Serving:
        if (m_isResponseEnded && age > writeTimeout) {
            close();
        }
        break;
    case State::Lingering:
        if (age > lingerTimeout) {
            close();
        }
        break;
    case State::Closed:
        break;
    }
}

void CallerConnection::drain(bool closesIdle)
{
    m_isDraining = true;
    if (m_state == State::Serving) {
        m_closesAfterResponse = true;
    } else if (closesIdle && isIdle() && m_undecoded.empty() && !awaitsFirstRequest()) {
        linger();
    }
}

/** The first request usually follows the connection at once; it gets a refusal rather than a closed connection. */
bool CallerConnection::awaitsFirstRequest() const
{
    return !m_hasHadRequest && m_now - m_since < firstRequestTime;
}

void CallerConnection::setHandlers(CallerHandlers handlers)
{
    m_handlers = std::move(handlers);
}

void CallerConnection::closeAfterResponse()
{
    m_closesAfterResponse = true;
}

void CallerConnection::sendHead(int status, const HttpHeaders &headers, std::optional<std::uint64_t> length)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhrase(status)).append("\r\n").append(headerLines(headers));
    m_isChunked = !length && !m_isHeadRequest;
    if (length) {
        text.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    } else {
        text.append("Transfer-Encoding: chunked\r\n");
    }
    text.append(m_closesAfterResponse ? "Connection: close\r\n\r\n" : "\r\n");
    write(text);
}

void CallerConnection::sendBody(std::string_view bytes)
{
    if (bytes.empty() || m_isHeadRequest) {
        return;
    }
    if (!m_isChunked) {
        write(bytes);
        return;
    }
    std::array<char, 18> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk.append("\r\n").append(bytes).append("\r\n");
    write(chunk);
}

void CallerConnection::endResponse()
{
    if (m_isChunked) {
        m_isChunked = false;
        write("0\r\n\r\n");
    }
    if (m_state != State::Serving) {
        return;
    }
    m_isResponseEnded = true;
    m_since = m_now;
    finishResponse();
}

void CallerConnection::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    HttpHeaders all = headers;
    all.emplace_back("Content-Type", "text/plain; charset=utf-8");
    sendHead(status, all, body.size());
    sendBody(body);
    endResponse();
}

void CallerConnection::write(std::string_view bytes)
{
    if (m_state == State::Closed) {
        return;
    }
    // Write errors need no handling here: the pending read reports that the socket has failed.
    m_writer.write(bytes);
    m_reservation.set(heldBytes());
    waitWritable();
}

void CallerConnection::waitWritable()
{
    if (m_writer.pending() == 0 || m_isWaitingWritable || m_state == State::Closed) {
        return;
    }
    m_isWaitingWritable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code &ec) {
        self->m_isWaitingWritable = false;
        if (ec || self->m_state == State::Closed) {
            return;
        }
        if (self->m_writer.flush()) {
            return;
        }
        if (self->m_writer.pending() > 0) {
            self->waitWritable();
            return;
        }
        if (self->m_handlers.onWritable) {
            const auto handler = self->m_handlers.onWritable;
            handler();
        }
        self->finishResponse();
    });
}

void CallerConnection::finishResponse()
{
    if (m_state != State::Serving || !m_isResponseEnded || m_writer.pending() > 0) {
        return;
    }
    m_handlers = {};
    m_servedBytes = 0;
    if (m_closesAfterResponse) {
        linger();
        return;
    }
    m_reservation.set(heldBytes());
    m_lastProgressAt = std::chrono::steady_clock::now();
    m_state = State::Reading;
    m_since = m_now;
    read();
    // Posted so that the next request does not start inside the handler that ends this one.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::Reading) {
            self->decode();
        }
    });
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_since = m_now;
    asio::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    std::string().swap(m_undecoded); // Assigning an empty string would keep the memory.
    m_reservation.set(heldBytes());
    read();
}

void CallerConnection::onDisconnect()
{
    const auto handlers = std::exchange(m_handlers, {});
    close();
    if (handlers.onDisconnect) {
        handlers.onDisconnect();
    }
}

void CallerConnection::close()
{
    m_state = State::Closed;
    m_handlers = {};
    std::string().swap(m_undecoded); // Assigning an empty string would keep the memory.
    m_decoder.reset();
    m_reservation.reset();
    asio::error_code ec;
    m_socket.close(ec); // An error while closing cannot be handled.
}

} // namespace turmericline
