#pragma once

#include "backend_pool.h"
#include "time_type.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/**
 * HTTP client for small calls with a time limit; buffers the whole response and reuses connections. A response of more
 * than 16 MiB counts as an error.
 */
class HttpCaller
{
public:
    /** Called exactly once, never from within get() or post(). Without a reply, @p reason describes the error. */
    using Handler = std::function<void(std::optional<HttpReply> reply, std::string reason)>;

    enum class Connection {
        Any,
        New, ///< For calls whose answers must not be mistaken: on a kept connection, a copy of an earlier one may follow.
    };

    explicit HttpCaller(asio::io_context &io);
    ~HttpCaller();
    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    void get(TimePoint now,
             const std::string &address,
             const std::string &target,
             std::chrono::milliseconds timeout,
             Handler handler);
    void post(TimePoint now,
              const std::string &address,
              const std::string &target,
              const std::string &contentType,
              const std::string &body,
              std::chrono::milliseconds timeout,
              Handler handler,
              Connection connection = Connection::Any);
    /** Ends calls that have exceeded their timeout; must be called regularly. */
    void tick(TimePoint now);

private:
    struct Call
    {
        std::string address;
        std::shared_ptr<BackendConnection> connection;
        TimePoint deadline{};
        HttpReply reply;
        Handler handler;
        bool isEnded = false;
    };

    void start(TimePoint now,
               const std::string &address,
               std::string message,
               std::chrono::milliseconds timeout,
               Handler handler,
               Connection connection);
    static void end(Call &call, std::optional<HttpReply> reply, std::string reason);

    asio::io_context &m_io;
    BackendPool m_pool;
    std::vector<std::shared_ptr<Call>> m_calls;
};

/** Decodes the body of a successful reply with @p decode; fails with the reason why there is none. */
template<typename Decode>
auto decodeReply(const std::optional<HttpReply> &reply, const std::string &reason, Decode decode)
    -> decltype(decode(std::string_view()))
{
    using Decoded = decltype(decode(std::string_view()));
    constexpr int success = 200;
    if (!reply) {
        return Decoded::fail(reason);
    }
    if (reply->status != success) {
        return Decoded::fail("status " + std::to_string(reply->status));
    }
    return decode(reply->body);
}

} // namespace turmericline
