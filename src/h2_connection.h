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

/** Body bytes of one stream that wait to be sent. */
struct H2OutgoingBody
{
    std::deque<std::string> chunks;
    std::size_t frontOffset = 0; ///< Bytes of the front chunk that were sent.
    std::size_t pendingBytes = 0;
    bool ended = false;
    HttpHeaders trailers;
};

/**
 * Drives one nghttp2 session over a TLS stream whose handshake is done.
 * Servers and clients derive from it and get the events of their streams.
 */
class H2Connection : public std::enable_shared_from_this<H2Connection>
{
public:
    virtual ~H2Connection();
    H2Connection(const H2Connection &) = delete;
    H2Connection &operator=(const H2Connection &) = delete;

    /** Starts reading and sends the settings. */
    void start();
    /** Closes the socket; onClosed() follows once. */
    void close(const std::string &reason);
    bool isOpen() const
    {
        return m_open;
    }
    /** Sends what is queued, from the next turn of the io_context. */
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
    struct Callbacks; // Entry points of nghttp2.

    void read();
    void flush();
    void writeOut();

    TlsStream m_stream;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::unordered_map<std::int32_t, H2OutgoingBody> m_outgoing;
    /** Small, because every idle connection keeps it; TLS has already read the rest of a record from the socket. */
    std::array<std::uint8_t, 4096> m_readBuf{};
    std::string m_queued; ///< Frames that wait for the running write.
    std::string m_writing;
    bool m_open = true;
    bool m_flushScheduled = false;
    bool m_writeRunning = false;
};

/** Builds nghttp2's view of headers; the strings have to outlive the call that takes it. */
std::vector<nghttp2_nv> toNameValues(const HttpHeaders &headers);

} // namespace turmericline
