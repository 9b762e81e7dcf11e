#pragma once

#include "h2_type.h"

#include <asio/ip/tcp.hpp>
#include <asio/ssl/stream.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace turmericline {

using TlsStream = asio::ssl::stream<asio::ip::tcp::socket>;

/** Queued body of one stream, with its trailers. */
struct H2OutgoingBody
{
    std::deque<std::string> chunks;
    std::size_t frontOffset = 0; ///< Bytes of the front chunk already sent.
    std::size_t pendingBytes = 0;
    bool ended = false;
    HttpHeaders trailers;
};

/**
 * Runs one nghttp2 session over a TLS stream after the handshake.
 * Client and server connections derive from it and override the stream events.
 */
class H2Connection : public std::enable_shared_from_this<H2Connection>
{
public:
    virtual ~H2Connection();
    H2Connection(const H2Connection &) = delete;
    H2Connection &operator=(const H2Connection &) = delete;

    /** Starts reading and sends the SETTINGS frame. */
    void start();
    /** Closes the socket and calls onClosed(); does nothing if already closed. */
    void close(const std::string &reason);
    bool isOpen() const
    {
        return m_open;
    }
    /** Posts a flush of the queued frames to the io_context; several calls before it runs share one flush. */
    void scheduleFlush();

protected:
    enum class Side {
        Client,
        Server,
    };

    H2Connection(TlsStream stream, Side side);

    virtual void onHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnd(std::int32_t stream, bool isTrailer) = 0;
    virtual void onData(std::int32_t stream, std::string_view data) = 0;
    virtual void onStreamEnd(std::int32_t stream) = 0; ///< The peer sent END_STREAM.
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t errorCode) = 0;
    virtual void onPong()
    {
    }
    virtual void onClosed(const std::string &reason) = 0;

    nghttp2_session *session()
    {
        return m_session.get();
    }
    TlsStream &stream()
    {
        return m_stream;
    }
    H2OutgoingBody &outgoing(std::int32_t stream)
    {
        return m_outgoing[stream];
    }
    bool hasOutgoing(std::int32_t stream) const
    {
        return m_outgoing.contains(stream);
    }
    nghttp2_data_provider bodyProvider();
    /** Queues body bytes without copying them. */
    void queueBody(std::int32_t stream, std::string chunk);
    /** Ends the body; trailers may be empty. */
    void endBody(std::int32_t stream, HttpHeaders trailers);

private:
    struct SessionDeleter
    {
        void operator()(nghttp2_session *session) const
        {
            nghttp2_session_del(session);
        }
    };
    struct Callbacks; // Callbacks registered with nghttp2.

    void read();
    void flush();
    void writeQueuedFrames();

    TlsStream m_stream;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::unordered_map<std::int32_t, H2OutgoingBody> m_outgoing;
    /** Small, because every idle connection holds one; a TLS record is larger, but OpenSSL buffers the rest of it. */
    std::array<std::uint8_t, 4096> m_readBuf{};
    std::string m_queuedFrames; ///< Serialized frames that wait until the current write has ended.
    std::string m_writeBuf; ///< Buffer of the current write.
    bool m_open = true;
    bool m_flushScheduled = false;
    bool m_writeRunning = false;
};

/** Converts headers to nghttp2's structure, which refers to the strings in @p headers. */
std::vector<nghttp2_nv> toNameValues(const HttpHeaders &headers);

} // namespace turmericline
