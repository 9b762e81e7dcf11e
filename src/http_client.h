#pragma once

#include "http_server.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace turmericline {

struct HttpClientRequest
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{2'000};
    std::chrono::milliseconds totalTimeout{0}; ///< 0 for none.
    bool freshConnection = false; ///< Uses a connection of its own, so that libcurl never sends the request twice.
    std::size_t maxBytes = 0; ///< Bytes of a body that onBody does not take; 0 for no limit.
};

/** How a client request ended. */
struct HttpClientResult
{
    bool complete = false; ///< The whole answer was received.
    bool sent = true; ///< False only if no connection was made, so that the server cannot have seen the request.
    int status = 0; ///< 0 if no status line was received.
    std::string error; ///< Reason if not complete.
};

/** Called as the answer arrives. Handlers that are not set are skipped. */
struct HttpClientHandlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view chunk)> onBody;
    std::function<void(const HttpClientResult &result)> onDone; ///< Called exactly once unless cancelled.
};

/** Asynchronous HTTP/1.1 client with connection reuse: libcurl's multi interface driven by Asio. */
class HttpClient
{
public:
    using RequestId = std::uint64_t;

    explicit HttpClient(asio::io_context &io);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a request; handlers are called from the io_context, never from within start(). */
    RequestId start(HttpClientRequest request, HttpClientHandlers handlers);
    /** Drops a request and its connection; no handler is called any more. */
    void cancel(RequestId id);
    std::size_t activeCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericline
