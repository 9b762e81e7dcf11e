#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ssl/context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmericline {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** Compares header names, ignoring the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** A received request. The views are valid as long as @c owner is held. */
struct HttpRequest
{
    std::uint64_t connection = 0;
    std::string_view method;
    std::string_view path; ///< Without the query.
    std::string_view query; ///< Without the question mark.
    std::string_view body;
    std::vector<std::pair<std::string_view, std::string_view>> headers;
    std::shared_ptr<const void> owner;
    bool isHeadTooLarge = false; ///< The head exceeds maxHeaderBytes or maxHeaderCount.
    bool isExcessConnection = false; ///< The connection was accepted beyond maxConnections.

    /** Returns the value of the first header named @p name (case-insensitive); empty if there is none. */
    std::string_view header(std::string_view name) const;
};

/** Sends the response to one request. Calls after the connection was closed have no effect. */
class HttpResponder
{
public:
    using WriteHandler = std::function<void(bool ok)>;

    virtual ~HttpResponder() = default;
    /** Sends a complete response with Content-Length. */
    virtual void reply(int status, HttpHeaders headers, std::string body) = 0;
    /** Starts a response of unknown length, with chunked transfer encoding. */
    virtual void beginStream(int status, HttpHeaders headers) = 0;
    /** Sends one chunk without copying it; @p done is called when it has been written or has failed. */
    virtual void write(std::string chunk, WriteHandler done) = 0;
    /** Ends a chunked response. */
    virtual void endStream() = 0;
};

struct HttpServerConfig
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< With 0 the kernel assigns a free port.
    std::size_t maxBodyBytes = 1U << 20U; ///< Bodies of up to twice this reach the handler, which answers 413.
    /** Size of request line and headers. Heads with parts of up to twice this reach the handler, which answers 431. */
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxHeaderCount = 100; ///< Heads of up to twice this reach the handler as well.
    std::size_t maxConnections = 4096; ///< Some more are accepted, so that the handler can answer 503.
    std::chrono::milliseconds readTimeout{10'000}; ///< From the start of the wait for a request to its last byte.
    std::chrono::milliseconds writeTimeout{30'000}; ///< Time limit of one write, for slow readers.
    /** Detects disconnects at once. A responder destroyed without a response then no longer closes its connection. */
    bool readsAhead = false;
    std::shared_ptr<asio::ssl::context> tls; ///< Plain TCP if null.
};

/** Returns the configuration of a server for calls of other processes of the system. */
HttpServerConfig peerServerConfig(const asio::ip::tcp::endpoint &endpoint, std::size_t maxBodyBytes);

/**
 * HTTP/1.1 server on an external io_context. Requests of one connection reach the handler one at a time: a pipelined
 * request waits for the response to the previous one, and is dropped if the connection closes first. With readsAhead
 * the server reads the next request while one is handled, so it detects a caller that disconnects or half-closes.
 *
 * RESTinio closes a connection without a response on syntax errors, beyond its hard limits and on a read timeout; its
 * public interface has no hook for these cases. The hard limits are therefore set above those of HttpServerConfig.
 */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;
    using CloseHandler = std::function<void(std::uint64_t connection)>;

    /** Starts to listen; throws std::exception if the address cannot be bound. */
    HttpServer(asio::io_context &io, const HttpServerConfig &config, const Handler &handler, CloseHandler onClose = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::size_t connectionCount() const;
    /** Number of responses that have been completed but not yet passed on to the network as a whole. */
    std::size_t unwrittenCount() const;
    /** Stops accepting connections; open ones stay open. */
    void stopListening();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericline
