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
    std::chrono::milliseconds connectTimeout{1'000}; ///< For TCP connect and TLS handshake together.
    std::chrono::milliseconds pingInterval{500}; ///< Interval of PING frames while streams are open.
    std::chrono::milliseconds pingTimeout{2'000}; ///< Time without any frame after which the peer counts as lost.
    /** Time until a connection without streams is closed; gossip would otherwise leave one open to every process. */
    std::chrono::milliseconds idleTimeout{60'000};
};

/**
 * HTTP/2 client for one peer. Connects on the first request, and on the next one after a connection was lost.
 * A peer that does not answer PING frames while streams are open counts as lost, which detects frozen processes.
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

    /** Sends a request. Handlers are called from the io_context, never from within start(). */
    StreamId start(H2Request request, H2Handlers handlers);
    /** Resets the stream; none of its handlers is called after that. */
    void cancel(StreamId id);
    /** Reopens the peer's flow-control window by @p bytes of the body. */
    void consume(StreamId id, std::size_t bytes);
    bool isConnected() const;
    std::size_t activeCount() const;

private:
    friend class H2ClientConnection;
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace turmericline
