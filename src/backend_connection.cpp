#include "backend_connection.h"

#include <utility>

namespace turmericline {

namespace {

/**
 * A reachable server accepts within a few milliseconds. The retransmission of a lost SYN takes a second, so a retry at
 * another server is faster.
 */
constexpr std::chrono::milliseconds connectTimeout{400};
/** Time to read the rest of a response that is discarded. */
constexpr std::chrono::milliseconds detachTimeout{500};
constexpr int firstFinalStatus = 200;
/** Informational responses and those to other requests may take as much before the expected one. */
constexpr std::size_t maxBytesBeforeHead = 1U << 20U;

} // namespace

BackendConnection::BackendConnection(asio::io_context &io, asio::ip::tcp::endpoint endpoint)
    : m_socket(io)
    , m_endpoint(std::move(endpoint))
    , m_writer(m_socket)
    , m_decoder(HttpDecoder::Kind::Response)
{
}

void BackendConnection::start(TimePoint now, std::string message, BackendHandlers handlers)
{
    m_handlers = std::make_shared<const BackendHandlers>(std::move(handlers));
    m_message = std::move(message);
    m_writtenBefore = m_writer.written();
    ++m_requestCount;
    m_isSent = false;
    m_isHeadAccepted = false;
    m_hasSkipped = false;
    m_isSkipping = false;
    m_bytesBeforeHead = 0;
    m_decoder.reset();
    m_since = now;
    if (m_state == State::Idle) {
        m_state = State::Busy;
        // Posted so that no handler is called from within start().
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            if (self->m_state == State::Busy) {
                self->send();
            }
        });
        return;
    }
    connect();
}

void BackendConnection::connect()
{
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](const asio::error_code &ec) {
        if (self->m_state != State::Connecting) {
            return;
        }
        asio::error_code optionError;
        if (!ec) {
            prepareSocket(self->m_socket, optionError);
        }
        if (ec || optionError) {
            self->fail(BackendFault::Unreachable, "no connection: " + (ec ? ec : optionError).message());
            return;
        }
        self->m_state = State::Busy;
        self->send();
    });
}

void BackendConnection::send()
{
    m_isSent = true;
    const auto ec = m_writer.write(std::exchange(m_message, {}));
    if (ec) {
        fail(BackendFault::Unreachable, "request not sent: " + ec.message());
        return;
    }
    waitWritable();
    read();
}

void BackendConnection::waitWritable()
{
    if (m_writer.pending() == 0 || m_isWaitingWritable) {
        return;
    }
    m_isWaitingWritable = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code &ec) {
        self->m_isWaitingWritable = false;
        if (ec || self->m_state == State::Closed) {
            return;
        }
        const auto writeError = self->m_writer.flush();
        if (!writeError) {
            self->waitWritable();
            return;
        }
        // The server may have responded before it closed the connection, which read() detects. The kernel reports a reset
        // only once, so reads do not tell it from an orderly end any more. A reset that follows such an end is EPIPE.
        self->m_isReset = writeError != asio::error::broken_pipe;
    });
}

void BackendConnection::read()
{
    if (m_isReading || m_isPaused || m_state == State::Closed) {
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
                                     self->onClosed(ec);
                                     return;
                                 }
                                 self->onBytes({self->m_buffer.data(), n});
                                 self->read();
                             });
}

void BackendConnection::onBytes(std::string_view bytes)
{
    if (m_state == State::Idle) {
        close(); // Unexpected bytes that belong to no request.
        return;
    }
    if (m_state == State::Busy && !m_isSent) {
        // They were sent before the server could know of the request, so they are no answer to it.
        fail(BackendFault::Unreachable, "bytes on an idle connection");
        return;
    }
    while (!bytes.empty() && (m_state == State::Busy || m_state == State::Detached)) {
        const auto n = m_decoder.feed(bytes);
        bytes.remove_prefix(n);
        m_bytesBeforeHead += m_isHeadAccepted ? 0 : n;
        if (m_decoder.fault() != HttpFault::None) {
            fail(BackendFault::Broken, "the answer is malformed");
            return;
        }
        if (m_bytesBeforeHead > maxBytesBeforeHead) {
            fail(BackendFault::Broken, "bytes without end before the answer");
            return;
        }
        const bool isInterim = m_decoder.hasHead() && m_decoder.head().status < firstFinalStatus;
        if (m_decoder.hasHead() && !isInterim && !m_isHeadAccepted && !m_isSkipping && m_state == State::Busy) {
            const auto handlers = m_handlers;
            m_isSkipping = handlers->onHead(m_decoder.head()) == HeadDisposition::Skip;
            m_hasSkipped |= m_isSkipping;
            m_isHeadAccepted = !m_isSkipping;
        }
        auto body = m_decoder.takeBody();
        if (!body.empty() && m_isHeadAccepted && m_state == State::Busy) {
            const auto handlers = m_handlers;
            handlers->onBody(std::move(body));
        }
        if (!m_decoder.isComplete() || m_state == State::Closed) {
            continue;
        }
        if (isInterim || m_isSkipping) {
            m_isSkipping = false;
            m_decoder.reset();
            continue;
        }
        onComplete(!bytes.empty());
        return;
    }
}

void BackendConnection::onComplete(bool hasMore)
{
    const bool canReuse = !hasMore && !m_hasSkipped && m_decoder.head().isKeptAlive && !m_decoder.isEndedByClose()
                          && m_writer.pending() == 0;
    const bool isWanted = m_state == State::Busy;
    const auto handlers = std::exchange(m_handlers, {});
    if (canReuse) {
        m_state = State::Idle;
        m_since = std::chrono::steady_clock::now();
    } else {
        close();
    }
    if (isWanted) {
        handlers->onEnd();
    }
}

void BackendConnection::onClosed(const asio::error_code &ec)
{
    if (m_state == State::Idle) {
        close();
        return;
    }
    // A response without a length ends with an orderly close; after a reset it is incomplete.
    const bool isOrderly = ec == asio::error::eof && !m_isReset;
    if (isOrderly && m_decoder.hasHead() && !m_isSkipping) {
        m_decoder.endOfInput();
        auto body = m_decoder.takeBody();
        if (!body.empty() && m_isHeadAccepted && m_state == State::Busy) {
            const auto handlers = m_handlers;
            handlers->onBody(std::move(body));
        }
        if (m_decoder.isComplete() && m_state != State::Closed) {
            onComplete(false);
            return;
        }
    }
    if (m_state != State::Closed) {
        fail(m_decoder.hasStarted() ? BackendFault::Broken : BackendFault::Unreachable,
             m_isReset ? "the connection failed while the request was sent"
                       : "the server closed the connection: " + ec.message());
    }
}

void BackendConnection::fail(BackendFault fault, std::string reason)
{
    const bool wasSent = m_writer.written() > m_writtenBefore;
    const bool isWanted = m_state == State::Connecting || m_state == State::Busy;
    const auto handlers = std::exchange(m_handlers, {});
    close();
    if (isWanted) {
        handlers->onFailure({wasSent ? Verdict::MayHaveRun : Verdict::NotRun, fault, std::move(reason)});
    }
}

void BackendConnection::stop()
{
    m_handlers.reset();
    // A zero linger time resets the connection, which discards data that has not been delivered. After an orderly
    // close, a suspended server would still receive the abandoned request when it resumes.
    asio::error_code ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

void BackendConnection::detach(TimePoint now)
{
    if (m_state == State::Busy) {
        m_handlers.reset();
        m_state = State::Detached;
        m_since = now;
        resumeReading();
    }
}

void BackendConnection::pauseReading()
{
    m_isPaused = true;
}

void BackendConnection::resumeReading()
{
    m_isPaused = false;
    if (m_state == State::Busy || m_state == State::Detached) {
        read();
    }
}

void BackendConnection::tick(TimePoint now)
{
    if (m_state == State::Connecting && now - m_since > connectTimeout) {
        fail(BackendFault::Unreachable, "no connection in time");
    } else if ((m_state == State::Detached && now - m_since > detachTimeout)
               || (m_state == State::Idle && now - m_since > m_idleLimit)) {
        close();
    }
}

void BackendConnection::close()
{
    m_state = State::Closed;
    asio::error_code ec;
    m_socket.close(ec); // An error while closing cannot be handled.
}

} // namespace turmericline
