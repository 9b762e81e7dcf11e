#pragma once

#include "h2_type.h"
#include "peer_tls.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace turmericline {

class H2ClientConnection;

struct H2ClientConfig
{
    std::chrono::milliseconds connectTimeout{1'000}; ///< TCP connect and TLS handshake together.
    std::chrono::milliseconds pingInterval{500}; ///< While streams are open.
    std::chrono::milliseconds pingTimeout{2'000}; ///< A silent peer is given up after this.
    /** A connection without streams is closed after this; gossip reaches every process in time, so they would add up. */
    std::chrono::milliseconds idleTimeout{60'000};
};

/**
 * HTTP/2 client to one peer. Dials on the first request and again after the connection was lost.
 * A peer that answers no PING while streams are open is treated as lost, which finds frozen processes.
 */
class H2Client
{
public:
    using StreamId = std::uint64_t;

    /** @p address is "IP:PORT". */
    H2Client(asio::io_context &io, PeerTls &tls, std::string address, H2ClientConfig config = {});
    ~H2Client();
    H2Client(const H2Client &) = delete;
    H2Client &operator=(const H2Client &) = delete;

    /** Sends a request; handlers are called from the io_context, never from within start(). */
    StreamId start(H2Request request, H2Handlers handlers);
    /** Tells the peer to drop the request; no handler is called any more. */
    void cancel(StreamId id);
    /** Returns @p bytes of the body to the peer's send window. */
    void consume(StreamId id, std::size_t bytes);
    bool isConnected() const;
    std::size_t activeCount() const;

private:
    friend class H2ClientConnection;
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericline
