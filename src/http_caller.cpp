#include "http_caller.h"

#include <asio/post.hpp>

#include <algorithm>

namespace turmericline {

namespace {

/** The largest response is a page of the store, which the platform limits to about 1 MB. */
constexpr std::size_t maxReplyBytes = 16U << 20U;

} // namespace

HttpCaller::HttpCaller(asio::io_context &io)
    : m_io(io)
    , m_pool(io)
{
}

HttpCaller::~HttpCaller()
{
    m_pool.stop();
}

void HttpCaller::get(TimePoint now,
                     const std::string &address,
                     const std::string &target,
                     std::chrono::milliseconds timeout,
                     Handler handler)
{
    start(now,
          address,
          "GET " + target + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n",
          timeout,
          std::move(handler),
          Connection::Any);
}

void HttpCaller::post(TimePoint now,
                      const std::string &address,
                      const std::string &target,
                      const std::string &contentType,
                      const std::string &body,
                      std::chrono::milliseconds timeout,
                      Handler handler,
                      Connection connection)
{
    start(now,
          address,
          "POST " + target + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Type: " + contentType
              + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          timeout,
          std::move(handler),
          connection);
}

void HttpCaller::start(TimePoint now,
                       const std::string &address,
                       std::string message,
                       std::chrono::milliseconds timeout,
                       Handler handler,
                       Connection connection)
{
    auto call = std::make_shared<Call>();
    call->address = address;
    call->handler = std::move(handler);
    call->deadline = now + timeout;
    call->connection = m_pool.take(now, address, address, connection == Connection::New);
    if (!call->connection) {
        asio::post(m_io, [call] {
            end(*call, std::nullopt, "the address is malformed");
        });
        return;
    }
    m_calls.push_back(call);
    BackendHandlers handlers;
    handlers.onHead = [call](HttpHead &head) {
        call->reply.status = head.status;
        call->reply.headers = std::move(head.headers);
        return HeadDisposition::Take;
    };
    handlers.onBody = [call](const std::string &bytes) {
        call->reply.body.append(bytes);
        if (call->reply.body.size() > maxReplyBytes) {
            call->connection->stop();
            end(*call, std::nullopt, "the answer is too long");
        }
    };
    handlers.onEnd = [call] {
        end(*call, std::move(call->reply), {});
    };
    handlers.onFailure = [call](const AttemptFailure &failure) {
        end(*call, std::nullopt, failure.reason);
    };
    call->connection->start(now, std::move(message), std::move(handlers));
}

void HttpCaller::end(Call &call, std::optional<HttpReply> reply, std::string reason)
{
    if (!call.isEnded) {
        call.isEnded = true;
        call.handler(std::move(reply), std::move(reason));
    }
}

void HttpCaller::tick(TimePoint now)
{
    const auto calls = m_calls;
    for (const auto &it : calls) {
        if (!it->isEnded && now >= it->deadline) {
            it->connection->stop();
            m_pool.dropIdle(it->address);
            end(*it, std::nullopt, "no answer in time");
        }
    }
    std::erase_if(m_calls, [](const auto &it) {
        return it->isEnded;
    });
    m_pool.tick(now);
}

} // namespace turmericline
