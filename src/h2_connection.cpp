#include "h2_connection.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <stdexcept>

namespace turmericline {

namespace {

constexpr std::int32_t streamWindowBytes = 256 * 1024;
constexpr std::int32_t connectionWindowBytes = 4 * 1024 * 1024;
constexpr std::uint32_t maxConcurrentStreams = 4096;
constexpr std::uint32_t maxHeaderListBytes = 64 * 1024;
constexpr std::size_t frameHeaderBytes = 9;
/** Small chunks are joined, since each one that waits takes more memory than its bytes. */
constexpr std::size_t maxJoinedBytes = 4U << 10U;
/** Larger write buffers are freed after use, or each connection would keep one of the size of a whole document. */
constexpr std::size_t maxKeptBufferBytes = 16U << 10U;

std::string_view view(const std::uint8_t *data, std::size_t size)
{
    return {reinterpret_cast<const char *>(data), size};
}

} // namespace

struct H2Connection::Callbacks
{
    static H2Connection &self(void *user)
    {
        return *static_cast<H2Connection *>(user);
    }

    static ssize_t send(nghttp2_session *, const std::uint8_t *data, std::size_t size, int, void *user)
    {
        self(user).m_queuedFrames.append(view(data, size));
        return static_cast<ssize_t>(size);
    }

    static ssize_t readBody(nghttp2_session *session,
                            std::int32_t stream,
                            std::uint8_t *,
                            std::size_t size,
                            std::uint32_t *flags,
                            nghttp2_data_source *,
                            void *user)
    {
        auto &body = self(user).m_outgoing[stream];
        if (body.pendingBytes == 0 && !body.ended) {
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto n = std::min(size, body.pendingBytes);
        *flags |= NGHTTP2_DATA_FLAG_NO_COPY;
        if (body.ended && n == body.pendingBytes) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            if (!body.trailers.empty()) {
                *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
                const auto nva = toNameValues(body.trailers);
                nghttp2_submit_trailer(session, stream, nva.data(), nva.size());
            }
        }
        return static_cast<ssize_t>(n);
    }

    static int sendBody(nghttp2_session *,
                        nghttp2_frame *frame,
                        const std::uint8_t *frameHeader,
                        std::size_t size,
                        nghttp2_data_source *,
                        void *user)
    {
        auto &connection = self(user);
        auto &body = connection.m_outgoing[frame->hd.stream_id];
        connection.m_queuedFrames.append(view(frameHeader, frameHeaderBytes));
        body.pendingBytes -= size;
        while (size > 0) {
            auto &front = body.chunks.front();
            const auto n = std::min(size, front.size() - body.frontOffset);
            connection.m_queuedFrames.append(front, body.frontOffset, n);
            body.frontOffset += n;
            size -= n;
            if (body.frontOffset == front.size()) {
                body.chunks.pop_front();
                body.frontOffset = 0;
            }
        }
        return 0;
    }

    static int header(nghttp2_session *,
                      const nghttp2_frame *frame,
                      const std::uint8_t *name,
                      std::size_t nameSize,
                      const std::uint8_t *value,
                      std::size_t valueSize,
                      std::uint8_t,
                      void *user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS) {
            self(user).onHeader(frame->hd.stream_id, view(name, nameSize), view(value, valueSize));
        }
        return 0;
    }

    static int frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        auto &connection = self(user);
        if (frame->hd.type == NGHTTP2_HEADERS) {
            connection.onHeadersEnd(frame->hd.stream_id, frame->headers.cat == NGHTTP2_HCAT_HEADERS);
        }
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
            connection.onPong();
        }
        const bool mayEndStream = frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (mayEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            connection.onStreamEnd(frame->hd.stream_id);
        }
        return 0;
    }

    static int
    data(nghttp2_session *, std::uint8_t, std::int32_t stream, const std::uint8_t *bytes, std::size_t size, void *user)
    {
        self(user).onData(stream, view(bytes, size));
        return 0;
    }

    static int streamClosed(nghttp2_session *, std::int32_t stream, std::uint32_t errorCode, void *user)
    {
        auto &connection = self(user);
        connection.m_outgoing.erase(stream);
        connection.onStreamClosed(stream, errorCode);
        return 0;
    }
};

std::vector<nghttp2_nv> toNameValues(const HttpHeaders &headers)
{
    std::vector<nghttp2_nv> nva;
    nva.reserve(headers.size());
    const auto bytes = [](const std::string &text) {
        // nghttp2 only copies the strings, but its structure takes non-const pointers.
        return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    for (const auto &[name, value] : headers) {
        nva.push_back({bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return nva;
}

H2Connection::H2Connection(TlsStream stream, Side side)
    : m_stream(std::move(stream))
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    const std::unique_ptr<nghttp2_session_callbacks, decltype(&nghttp2_session_callbacks_del)> guard(
        callbacks, &nghttp2_session_callbacks_del);
    nghttp2_session_callbacks_set_send_callback(callbacks, &Callbacks::send);
    nghttp2_session_callbacks_set_send_data_callback(callbacks, &Callbacks::sendBody);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &Callbacks::header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Callbacks::frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Callbacks::data);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Callbacks::streamClosed);

    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    const std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)> optionGuard(option, &nghttp2_option_del);
    // The flow-control window is updated only when the bytes are consumed, so a slow caller throttles its own stream.
    nghttp2_option_set_no_auto_window_update(option, 1);

    nghttp2_session *raw = nullptr;
    const int rc = side == Side::Server ? nghttp2_session_server_new2(&raw, callbacks, this, option)
                                        : nghttp2_session_client_new2(&raw, callbacks, this, option);
    if (rc != 0) {
        throw std::runtime_error(nghttp2_strerror(rc));
    }
    m_session.reset(raw);
    const std::array<nghttp2_settings_entry, 4> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(streamWindowBytes)},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, maxHeaderListBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    // Servers must not send ENABLE_PUSH.
    nghttp2_submit_settings(raw, NGHTTP2_FLAG_NONE, settings.data(), side == Side::Server ? 3 : 4);
    nghttp2_session_set_local_window_size(raw, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

H2Connection::~H2Connection() = default;

void H2Connection::start()
{
    read();
    scheduleFlush();
}

void H2Connection::close(const std::string &reason)
{
    if (!m_open) {
        return;
    }
    m_open = false;
    asio::error_code ec;
    m_stream.lowest_layer().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    m_stream.lowest_layer().close(ec);
    onClosed(reason);
}

void H2Connection::scheduleFlush()
{
    if (m_flushScheduled || !m_open) {
        return;
    }
    m_flushScheduled = true;
    // Posting avoids re-entering nghttp2 from its own callbacks and combines the frames of one event-loop iteration.
    asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

nghttp2_data_provider H2Connection::bodyProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::readBody;
    return provider;
}

void H2Connection::queueBody(std::int32_t stream, std::string chunk)
{
    if (!m_open || chunk.empty()) {
        return;
    }
    auto &body = m_outgoing[stream];
    body.pendingBytes += chunk.size();
    if (!body.chunks.empty() && body.chunks.back().size() + chunk.size() <= maxJoinedBytes) {
        body.chunks.back().append(chunk);
    } else {
        body.chunks.push_back(std::move(chunk));
    }
    nghttp2_session_resume_data(session(), stream);
    scheduleFlush();
}

void H2Connection::endBody(std::int32_t stream, HttpHeaders trailers)
{
    if (!m_open) {
        return;
    }
    auto &body = m_outgoing[stream];
    body.ended = true;
    body.trailers = std::move(trailers);
    nghttp2_session_resume_data(session(), stream);
    scheduleFlush();
}

void H2Connection::read()
{
    m_stream.async_read_some(asio::buffer(m_readBuf), [self = shared_from_this()](asio::error_code ec, std::size_t n) {
        if (!self->m_open) {
            return;
        }
        if (ec) {
            self->close("connection lost: " + ec.message());
            return;
        }
        const auto used = nghttp2_session_mem_recv(self->session(), self->m_readBuf.data(), n);
        if (used < 0) {
            self->close(std::string("protocol error: ") + nghttp2_strerror(static_cast<int>(used)));
            return;
        }
        self->scheduleFlush();
        self->read();
    });
}

void H2Connection::flush()
{
    if (!m_open) {
        return;
    }
    if (const int rc = nghttp2_session_send(session()); rc != 0) {
        close(std::string("protocol error: ") + nghttp2_strerror(rc));
        return;
    }
    writeQueuedFrames();
    const bool idle = nghttp2_session_want_read(session()) == 0 && nghttp2_session_want_write(session()) == 0;
    if (idle && !m_writeRunning) {
        close("session ended");
    }
}

void H2Connection::writeQueuedFrames()
{
    if (m_writeRunning || m_queuedFrames.empty()) {
        return;
    }
    m_writeRunning = true;
    m_writeBuf.swap(m_queuedFrames);
    m_queuedFrames.clear();
    asio::async_write(
        m_stream, asio::buffer(m_writeBuf), [self = shared_from_this()](asio::error_code ec, std::size_t) {
            self->m_writeRunning = false;
            self->m_writeBuf.clear();
            if (self->m_writeBuf.capacity() > maxKeptBufferBytes) {
                self->m_writeBuf.shrink_to_fit();
            }
            if (!self->m_open) {
                return;
            }
            if (ec) {
                self->close("connection lost: " + ec.message());
                return;
            }
            self->flush();
        });
}

} // namespace turmericline
