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

struct HttpReply
{
    int status = 0;
    std::string body;
};

/** Makes small HTTP calls whose whole answer is wanted, each with a time limit, over connections that are kept. */
class HttpCaller
{
public:
    /** Called once, never from within call(); without a reply @p reason tells why. */
    using Handler = std::function<void(std::optional<HttpReply> reply, std::string reason)>;

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
              Handler handler);
    /** Ends the calls whose time is over. */
    void tick(TimePoint now);

private:
    struct Call
    {
        std::string address;
        std::shared_ptr<BackendConnection> connection;
        TimePoint endsAt{};
        HttpReply reply;
        Handler handler;
        bool isEnded = false;
    };

    void start(TimePoint now,
               const std::string &address,
               std::string message,
               std::chrono::milliseconds timeout,
               Handler handler);
    static void end(Call &call, std::optional<HttpReply> reply, std::string reason);

    asio::io_context &m_io;
    BackendPool m_pool;
    std::vector<std::shared_ptr<Call>> m_calls;
};

} // namespace turmericline
