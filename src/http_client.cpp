#include "http_client.h"

#include "head_syntax.h"

#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <unordered_map>

namespace turmericline {

namespace {

/** libcurl keeps all header lines of a transfer, and has no limit for trailer fields. */
constexpr std::size_t maxHeadBytes = 256U << 10U;

struct EasyDeleter
{
    void operator()(CURL *easy) const
    {
        curl_easy_cleanup(easy);
    }
};

struct ListDeleter
{
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};

struct MultiDeleter
{
    void operator()(CURLM *multi) const
    {
        curl_multi_cleanup(multi);
    }
};

/** A request in progress. */
struct Transfer
{
    HttpClient::RequestId id = 0;
    HttpClientRequest request;
    HttpClientHandlers handlers;
    std::unique_ptr<CURL, EasyDeleter> easy;
    std::unique_ptr<curl_slist, ListDeleter> headerList;
    HttpHeaders responseHeaders;
    HeadSyntax syntax{HeadSyntax::Kind::Response};
    std::size_t headBytes = 0; ///< Of all heads, interim ones as well, and of the trailer fields.
    bool isMalformed = false;
    int status = 0;
    bool headReported = false;
    bool cancelled = false; ///< No handler is called any more.
};

void reportHead(Transfer &transfer)
{
    if (transfer.headReported || transfer.cancelled) {
        return;
    }
    transfer.headReported = true;
    if (transfer.handlers.onHead) {
        transfer.handlers.onHead(transfer.status, transfer.responseHeaders);
    }
}

/** Adds a line of the head that is neither a status line nor empty. */
void addField(HttpHeaders &headers, std::string_view line)
{
    constexpr std::string_view blanks = " \t";
    const auto trimmed = [blanks](std::string_view text) {
        text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
        return text.substr(0, text.find_last_not_of(blanks) + 1);
    };
    if (line.starts_with(' ') || line.starts_with('\t')) {
        headers.back().second.append(" ").append(trimmed(line));
        return;
    }
    const auto colon = line.find(':');
    headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
}

/** libcurl passes one line at a time, and the trailer fields of a chunked body as well; these are ignored. */
std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *user)
{
    constexpr std::size_t rejected = 0; // libcurl ends the transfer if not all bytes are accepted.
    constexpr std::size_t statusAt = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t statusDigits = 3;
    constexpr int firstFinalStatus = 200;
    auto &transfer = *static_cast<Transfer *>(user);
    std::string_view line(data, size * count);
    transfer.headBytes += line.size();
    if (transfer.headBytes > maxHeadBytes) {
        transfer.isMalformed = true;
        return rejected;
    }
    if (transfer.headReported) {
        return line.size();
    }
    if (line.starts_with("HTTP/")) {
        // Each status line starts a new head; an interim response such as "100 Continue" comes before the final one.
        transfer.responseHeaders.clear();
        transfer.syntax = HeadSyntax(HeadSyntax::Kind::Response);
        transfer.status = 0;
    }
    if (!transfer.syntax.check(line)) {
        transfer.isMalformed = true;
        return rejected;
    }
    const auto bytes = line.size();
    line = line.substr(0, line.find_last_not_of("\r\n") + 1);
    if (transfer.status == 0 && line.size() >= statusAt + statusDigits) {
        std::from_chars(line.data() + statusAt, line.data() + statusAt + statusDigits, transfer.status);
    } else if (!line.empty()) {
        addField(transfer.responseHeaders, line);
    } else if (transfer.status >= firstFinalStatus) {
        reportHead(transfer);
    }
    return bytes;
}

std::size_t onBodyChunk(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.handlers.onBody && !transfer.cancelled) {
        transfer.handlers.onBody({data, size * count});
    }
    return size * count;
}

} // namespace

/** A socket owned by libcurl whose readiness is awaited through Asio. */
struct WatchedSocket
{
    asio::posix::stream_descriptor descriptor;
    int action = 0; ///< Events that libcurl waits for (CURL_POLL_*).
    bool readWaiting = false;
    bool writeWaiting = false;

    WatchedSocket(asio::io_context &io, int fd)
        : descriptor(io, fd)
    {
    }
    ~WatchedSocket()
    {
        descriptor.release(); // The socket is closed by libcurl.
    }
};

class HttpClient::Impl
{
public:
    explicit Impl(asio::io_context &io)
        : m_io(io)
        , m_timer(io)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETFUNCTION, &Impl::socketCallback);
        curl_multi_setopt(m_multi.get(), CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERFUNCTION, &Impl::timerCallback);
        curl_multi_setopt(m_multi.get(), CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi.get(), CURLMOPT_MAXCONNECTS, 256L);
    }

    ~Impl()
    {
        *m_alive = false;
        for (auto &[id, it] : m_transfers) {
            curl_multi_remove_handle(m_multi.get(), it->easy.get());
        }
        m_transfers.clear();
        m_multi.reset();
    }

    RequestId start(HttpClientRequest request, HttpClientHandlers handlers)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->id = ++m_lastId;
        transfer->request = std::move(request);
        transfer->handlers = std::move(handlers);
        configure(*transfer);
        CURL *easy = transfer->easy.get();
        const auto id = transfer->id;
        m_transfers.emplace(id, std::move(transfer));
        curl_multi_add_handle(m_multi.get(), easy);
        return id;
    }

    void cancel(RequestId id)
    {
        const auto it = m_transfers.find(id);
        if (it == m_transfers.end()) {
            return;
        }
        if (m_insideCurl) {
            // libcurl must not be re-entered from its callbacks, and a handler must not be destroyed while it runs.
            // The handlers are disabled now; the transfer is removed after libcurl has returned.
            it->second->cancelled = true;
            asio::post(m_io, [this, id, alive = m_alive] {
                if (*alive) {
                    cancel(id);
                }
            });
            return;
        }
        curl_multi_remove_handle(m_multi.get(), it->second->easy.get());
        m_transfers.erase(it);
    }

    std::size_t activeCount() const
    {
        return m_transfers.size();
    }

private:
    void configure(Transfer &transfer)
    {
        transfer.easy.reset(curl_easy_init());
        CURL *easy = transfer.easy.get();
        auto &request = transfer.request;
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 16384L);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.totalTimeout.count()));
        if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        }
        if (request.freshConnection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        if (request.maxBytes != 0) {
            curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE, static_cast<curl_off_t>(request.maxBytes));
        }
        curl_slist *list = nullptr;
        std::string line;
        for (const auto &[name, value] : request.headers) {
            line.assign(name).append(": ").append(value);
            list = curl_slist_append(list, line.c_str());
        }
        list = curl_slist_append(list, "Expect:"); // Avoids waiting one second for "100 Continue".
        transfer.headerList.reset(list);
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeaderLine);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBodyChunk);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    }

    static int socketCallback(CURL *, curl_socket_t fd, int action, void *user, void *)
    {
        static_cast<Impl *>(user)->watch(fd, action);
        return 0;
    }

    static int timerCallback(CURLM *, long timeoutMs, void *user)
    {
        static_cast<Impl *>(user)->setTimer(timeoutMs);
        return 0;
    }

    void watch(curl_socket_t fd, int action)
    {
        if (action == CURL_POLL_REMOVE) {
            m_sockets.erase(fd);
            return;
        }
        auto &socket = m_sockets[fd];
        if (!socket) {
            socket = std::make_shared<WatchedSocket>(m_io, fd);
        }
        socket->action = action;
        awaitReadiness(fd, socket);
    }

    void awaitReadiness(curl_socket_t fd, const std::shared_ptr<WatchedSocket> &socket)
    {
        const auto wait = [&](asio::posix::stream_descriptor::wait_type type, int poll, int select, bool &waiting) {
            if ((socket->action & poll) == 0 || waiting) {
                return;
            }
            waiting = true;
            socket->descriptor.async_wait(
                type, [this, fd, select, &waiting, weak = std::weak_ptr(socket), alive = m_alive](asio::error_code ec) {
                    const auto strong = weak.lock();
                    if (!*alive || !strong) {
                        return;
                    }
                    waiting = false;
                    if (ec) {
                        return;
                    }
                    runSocketAction(fd, select);
                    if (const auto it = m_sockets.find(fd); it != m_sockets.end() && it->second == strong) {
                        awaitReadiness(fd, strong);
                    }
                });
        };
        wait(asio::posix::stream_descriptor::wait_read, CURL_POLL_IN, CURL_CSELECT_IN, socket->readWaiting);
        wait(asio::posix::stream_descriptor::wait_write, CURL_POLL_OUT, CURL_CSELECT_OUT, socket->writeWaiting);
    }

    void setTimer(long timeoutMs)
    {
        if (timeoutMs < 0) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::chrono::milliseconds(timeoutMs));
        m_timer.async_wait([this, alive = m_alive](asio::error_code ec) {
            if (!ec && *alive) {
                runSocketAction(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    void runSocketAction(curl_socket_t fd, int select)
    {
        int running = 0;
        m_insideCurl = true;
        curl_multi_socket_action(m_multi.get(), fd, select, &running);
        m_insideCurl = false;
        finishTransfers();
    }

    void finishTransfers()
    {
        int remaining = 0;
        while (CURLMsg *msg = curl_multi_info_read(m_multi.get(), &remaining)) {
            if (msg->msg != CURLMSG_DONE) {
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &transfer);
            const CURLcode code = msg->data.result;
            HttpClientResult result;
            // libcurl takes a head that is cut by the end of the connection for a complete response without a body.
            result.complete = code == CURLE_OK && transfer->headReported;
            result.status = transfer->status;
            result.sent = code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
            if (transfer->isMalformed) {
                result.error = "the head of the answer is malformed";
            } else if (code != CURLE_OK) {
                result.error = curl_easy_strerror(code);
            } else if (!result.complete) {
                result.error = "the head of the answer was cut off";
            }
            const auto owned = std::move(m_transfers.at(transfer->id));
            m_transfers.erase(transfer->id);
            curl_multi_remove_handle(m_multi.get(), owned->easy.get());
            if (owned->handlers.onDone && !owned->cancelled) {
                owned->handlers.onDone(result);
            }
        }
    }

    asio::io_context &m_io;
    asio::steady_timer m_timer;
    std::unique_ptr<CURLM, MultiDeleter> m_multi;
    std::unordered_map<RequestId, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> m_sockets;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    RequestId m_lastId = 0;
    bool m_insideCurl = false;
};

HttpClient::HttpClient(asio::io_context &io)
    : m_impl(std::make_unique<Impl>(io))
{
}

HttpClient::~HttpClient() = default;

HttpClient::RequestId HttpClient::start(HttpClientRequest request, HttpClientHandlers handlers)
{
    return m_impl->start(std::move(request), std::move(handlers));
}

void HttpClient::cancel(RequestId id)
{
    m_impl->cancel(id);
}

std::size_t HttpClient::activeCount() const
{
    return m_impl->activeCount();
}

} // namespace turmericline
