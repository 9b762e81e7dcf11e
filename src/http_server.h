#pragma once

#include <asio/io_context.hpp>
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

/** Compares header names. */
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/** A received request. The views stay valid as long as @c owner is held. */
struct HttpRequest
{
    std::uint64_t connection = 0;
    std::string_view method;
    std::string_view path; ///< Without the query.
    std::string_view query; ///< Without the question mark.
    std::string_view body;
    std::vector<std::pair<std::string_view, std::string_view>> headers;
    std::shared_ptr<const void> owner;
    bool isHeadTooLarge = false; ///< Beyond maxHeaderBytes or maxHeaderCount.
    bool isExcessConnection = false; ///< Its connection was accepted beyond maxConnections.

    /** Value of the first header called @p name in any case; empty if there is none. */
    std::string_view header(std::string_view name) const;
};

/** Sends the answer to one request. Calls after the connection was closed are ignored. */
class HttpResponder
{
public:
    using WriteHandler = std::function<void(bool ok)>;

    virtual ~HttpResponder() = default;
    /** Sends a whole answer with Content-Length. */
    virtual void reply(int status, HttpHeaders headers, std::string body) = 0;
    /** Starts an answer of unknown length (chunked). */
    virtual void beginStream(int status, HttpHeaders headers) = 0;
    /** Sends one chunk without copying it; @p done is called when it was written or failed. */
    virtual void write(std::string chunk, WriteHandler done) = 0;
    /** Ends a streamed answer. */
    virtual void endStream() = 0;
};

struct HttpServerConfig
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 takes a free port from the kernel.
    std::size_t maxBodyBytes = 1U << 20U; ///< Requests up to twice this reach the handler, which answers 413.
    /** Of request line and header fields; heads with parts of up to twice this reach the handler, which answers 431. */
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxHeaderCount = 100; ///< Heads of up to twice this reach the handler as well.
    std::size_t maxConnections = 4096; ///< A margin beyond this is accepted, so that the handler can answer 503.
    std::chrono::milliseconds readTimeout{10'000}; ///< From the first byte awaited to a whole request.
    std::chrono::milliseconds writeTimeout{30'000}; ///< For one write to a slow reader.
    /** Notices at once that a caller disconnects. A responder that is dropped unanswered no longer closes its connection. */
    bool readsAhead = false;
    std::shared_ptr<asio::ssl::context> tls; ///< Plain TCP if empty.
};

/**
 * HTTP/1.1 server on an external io_context. Requests of one connection reach the handler one at a time: a pipelined one
 * waits for the answer to the one before, and is dropped if the connection is closed first. With readsAhead the next one
 * is read while a request is handled, so a caller that disconnects, even by closing only its sending side, is noticed.
 *
 * RESTinio closes a connection without an answer on syntax errors, beyond its own hard limits and when the read timeout
 * passes; its published interface has no hook there. The hard limits are therefore wider than the limits below.
 */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;
    using CloseHandler = std::function<void(std::uint64_t connection)>;

    /** Listens at once; throws std::exception if the address cannot be bound. */
    HttpServer(asio::io_context &io, const HttpServerConfig &config, const Handler &handler, CloseHandler onClose = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const;
    std::size_t connectionCount() const;
    /** Stops accepting connections; open ones go on. */
    void stopListening();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericline
