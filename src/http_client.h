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
    bool freshConnection = false; ///< Uses a new connection, as libcurl may resend a request on a reused one.
    std::size_t maxBytes = 0; ///< Largest response body accepted, in bytes; 0 for no limit.
};

/** Outcome of a client request. */
struct HttpClientResult
{
    bool complete = false; ///< The whole response was received.
    bool sent = true; ///< False only if no connection was made, so the server cannot have received it.
    int status = 0; ///< 0 if no status line was received.
    std::string error; ///< Reason, if not complete.
};

/** Callbacks for the parts of a response as they arrive; each may be empty. */
struct HttpClientHandlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view chunk)> onBody;
    std::function<void(const HttpClientResult &result)> onDone; ///< Called exactly once, unless cancelled.
};

/** Asynchronous HTTP/1.1 client with connection reuse, based on libcurl's multi interface and Asio. */
class HttpClient
{
public:
    using RequestId = std::uint64_t;

    explicit HttpClient(asio::io_context &io);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Starts a request. Handlers are called from the io_context, never from within start(). */
    RequestId start(HttpClientRequest request, HttpClientHandlers handlers);
    /** Cancels a request and closes its connection; none of its handlers is called after that. */
    void cancel(RequestId id);
    std::size_t activeCount() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericline
