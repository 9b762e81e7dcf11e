#pragma once

#include "h2_type.h"
#include "peer_tls.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace turmericline {

class H2ServerConnection;

/** One request of a peer, and the means to respond to it. */
class H2ServerStream
{
public:
    H2ServerStream(std::weak_ptr<H2ServerConnection> connection, std::int32_t id, H2Request request);

    const H2Request &request() const
    {
        return m_request;
    }
    std::string_view header(std::string_view name) const
    {
        return headerValue(m_request.headers, name);
    }

    /** Sends the response headers; the body follows with write() and end(). */
    void respond(int status, const HttpHeaders &headers);
    void write(std::string chunk);
    void end(HttpHeaders trailers = {});
    /** Sends a complete response. */
    void reply(int status, const HttpHeaders &headers, std::string body, HttpHeaders trailers = {});
    /** Body bytes that are queued but not yet sent. */
    std::size_t pendingBytes() const;
    bool isOpen() const;

    /** Called once if the peer resets the stream, or the connection is lost, before end(). */
    std::function<void()> onCancel;

private:
    friend class H2ServerConnection;

    std::weak_ptr<H2ServerConnection> m_connection;
    std::int32_t m_id;
    H2Request m_request;
    bool m_responded = false;
    bool m_ended = false;
};

/** HTTP/2 server for peers that authenticate with a pre-shared key. */
class H2Server
{
public:
    using Handler = std::function<void(std::shared_ptr<H2ServerStream>)>;

    /** Starts to listen; port 0 lets the kernel choose. Throws std::system_error if the address cannot be bound. */
    H2Server(asio::io_context &io, PeerTls &tls, const std::string &address, std::uint16_t port, Handler handler);
    ~H2Server();
    H2Server(const H2Server &) = delete;
    H2Server &operator=(const H2Server &) = delete;

    std::uint16_t port() const;
    std::size_t connectionCount() const;
    std::size_t openStreamCount() const;
    /** Number of connections dropped because their TLS handshake failed. */
    std::uint64_t rejectedHandshakes() const;
    void stopListening();
    /** Sends GOAWAY to every peer, so that it opens no new streams; a connection closes when its last stream ends. */
    void drain();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericline
