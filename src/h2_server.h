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

/** One request from a peer and the answer to it. */
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

    /** Starts the answer; the body follows with write() and end(). */
    void respond(int status, const HttpHeaders &headers);
    void write(std::string chunk);
    void end(HttpHeaders trailers = {});
    /** Sends a whole answer. */
    void reply(int status, const HttpHeaders &headers, std::string body, HttpHeaders trailers = {});
    /** Body bytes that the peer has not taken yet. */
    std::size_t pendingBytes() const;
    bool isOpen() const;

    /** Called once if the stream ends before end(): cancelled by the peer, or connection lost. */
    std::function<void()> onCancel;

private:
    friend class H2ServerConnection;

    std::weak_ptr<H2ServerConnection> m_connection;
    std::int32_t m_id;
    H2Request m_request;
    bool m_responded = false;
    bool m_ended = false;
};

/** HTTP/2 server for peers that hold a key. */
class H2Server
{
public:
    using Handler = std::function<void(std::shared_ptr<H2ServerStream>)>;

    /** Listens at once; port 0 takes one from the kernel. Throws std::system_error if it cannot bind. */
    H2Server(asio::io_context &io, PeerTls &tls, const std::string &address, std::uint16_t port, Handler handler);
    ~H2Server();
    H2Server(const H2Server &) = delete;
    H2Server &operator=(const H2Server &) = delete;

    std::uint16_t port() const;
    std::size_t connectionCount() const;
    std::size_t openStreamCount() const;
    /** Connections refused because the handshake failed. */
    std::uint64_t rejectedHandshakes() const;
    void stopListening();
    /** Tells every peer that new streams are not processed, and closes each connection once its streams ended. */
    void drain();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericline
