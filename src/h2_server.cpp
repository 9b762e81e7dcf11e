#include "h2_server.h"

#include "h2_connection.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <charconv>
#include <unordered_map>
#include <unordered_set>

namespace turmericline {

namespace {

constexpr std::size_t maxRequestBytes = 4U << 20U;
constexpr auto handshakeTimeout = std::chrono::seconds(5);

} // namespace

class H2ServerConnection final : public H2Connection
{
public:
    using CloseHandler = std::function<void(H2ServerConnection *)>;

    H2ServerConnection(TlsStream stream, H2Server::Handler handler, CloseHandler onClosed)
        : H2Connection(std::move(stream), Side::Server)
        , m_handler(std::move(handler))
        , m_onClosed(std::move(onClosed))
    {
    }

    void respond(std::int32_t id, int status, const HttpHeaders &headers)
    {
        HttpHeaders all{{":status", std::to_string(status)}};
        all.insert(all.end(), headers.begin(), headers.end());
        const auto nva = toNameValues(all);
        const auto provider = bodyProvider();
        nghttp2_submit_response(session(), id, nva.data(), nva.size(), &provider);
        scheduleFlush();
    }

    using H2Connection::endBody;
    using H2Connection::queueBody;

    std::size_t pendingBytes(std::int32_t id)
    {
        return hasOutgoing(id) ? outgoing(id).pendingBytes : 0;
    }

    std::size_t openStreamCount() const
    {
        return m_streams.size();
    }

    bool hasStream(std::int32_t id) const
    {
        return m_streams.contains(id);
    }

    void drain()
    {
        nghttp2_submit_goaway(session(),
                              NGHTTP2_FLAG_NONE,
                              nghttp2_session_get_last_proc_stream_id(session()),
                              NGHTTP2_NO_ERROR,
                              nullptr,
                              0);
        scheduleFlush();
    }

protected:
    void onHeader(std::int32_t id, std::string_view name, std::string_view value) override
    {
        auto &request = m_incoming[id];
        if (name == ":method") {
            request.method = value;
        } else if (name == ":path") {
            request.path = value;
        } else if (!name.starts_with(':')) {
            request.headers.emplace_back(name, value);
        }
    }

    void onHeadersEnd(std::int32_t, bool) override
    {
    }

    void onData(std::int32_t id, std::string_view data) override
    {
        const auto it = m_incoming.find(id);
        nghttp2_session_consume(session(), id, data.size());
        if (it == m_incoming.end()) {
            return;
        }
        if (it->second.body.size() + data.size() > maxRequestBytes) {
            m_incoming.erase(it);
            nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
            return;
        }
        it->second.body.append(data);
    }

    void onStreamEnd(std::int32_t id) override
    {
        const auto it = m_incoming.find(id);
        if (it == m_incoming.end()) {
            return;
        }
        auto self = std::static_pointer_cast<H2ServerConnection>(shared_from_this());
        auto stream = std::make_shared<H2ServerStream>(self, id, std::move(it->second));
        m_incoming.erase(it);
        m_streams.emplace(id, stream);
        m_handler(std::move(stream));
    }

    void onStreamClosed(std::int32_t id, std::uint32_t) override
    {
        m_incoming.erase(id);
        const auto it = m_streams.find(id);
        if (it == m_streams.end()) {
            return;
        }
        const auto stream = std::move(it->second);
        m_streams.erase(it);
        cancelIfUnfinished(*stream);
    }

    void onClosed(const std::string &) override
    {
        const auto streams = std::move(m_streams);
        m_streams.clear();
        for (const auto &[id, it] : streams) {
            cancelIfUnfinished(*it);
        }
        if (m_onClosed) {
            m_onClosed(this);
        }
    }

private:
    static void cancelIfUnfinished(H2ServerStream &stream)
    {
        const auto handler = std::move(stream.onCancel);
        stream.onCancel = {};
        if (!stream.m_ended && handler) {
            handler();
        }
    }

    H2Server::Handler m_handler;
    CloseHandler m_onClosed;
    std::unordered_map<std::int32_t, H2Request> m_incoming;
    std::unordered_map<std::int32_t, std::shared_ptr<H2ServerStream>> m_streams;
};

H2ServerStream::H2ServerStream(std::weak_ptr<H2ServerConnection> connection, std::int32_t id, H2Request request)
    : m_connection(std::move(connection))
    , m_id(id)
    , m_request(std::move(request))
{
}

void H2ServerStream::respond(int status, const HttpHeaders &headers)
{
    if (const auto connection = m_connection.lock(); connection && !m_responded && connection->hasStream(m_id)) {
        m_responded = true;
        connection->respond(m_id, status, headers);
    }
}

void H2ServerStream::write(std::string chunk)
{
    if (const auto connection = m_connection.lock(); connection && !m_ended && connection->hasStream(m_id)) {
        connection->queueBody(m_id, std::move(chunk));
    }
}

void H2ServerStream::end(HttpHeaders trailers)
{
    if (m_ended) {
        return;
    }
    m_ended = true;
    onCancel = {};
    if (const auto connection = m_connection.lock(); connection && connection->hasStream(m_id)) {
        connection->endBody(m_id, std::move(trailers));
    }
}

void H2ServerStream::reply(int status, const HttpHeaders &headers, std::string body, HttpHeaders trailers)
{
    respond(status, headers);
    write(std::move(body));
    end(std::move(trailers));
}

std::size_t H2ServerStream::pendingBytes() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->pendingBytes(m_id) : 0;
}

bool H2ServerStream::isOpen() const
{
    const auto connection = m_connection.lock();
    return connection && connection->isOpen() && connection->hasStream(m_id);
}

struct H2Server::Impl : public std::enable_shared_from_this<H2Server::Impl>
{
    asio::io_context &io;
    PeerTls &tls;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    std::unordered_set<std::shared_ptr<H2ServerConnection>> connections;
    std::uint64_t rejected = 0;

    Impl(asio::io_context &context, PeerTls &peerTls, const asio::ip::tcp::endpoint &endpoint, Handler h)
        : io(context)
        , tls(peerTls)
        , acceptor(context, endpoint)
        , handler(std::move(h))
    {
    }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](asio::error_code ec, asio::ip::tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!ec) {
                self->handshake(std::move(socket));
            }
            self->accept();
        });
    }

    void handshake(asio::ip::tcp::socket socket)
    {
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto stream = std::make_shared<TlsStream>(std::move(socket), tls.serverContext());
        auto timer = std::make_shared<asio::steady_timer>(io, handshakeTimeout);
        timer->async_wait([stream](asio::error_code ec) {
            if (!ec) {
                asio::error_code closeError;
                stream->lowest_layer().close(closeError);
            }
        });
        stream->async_handshake(asio::ssl::stream_base::server,
                                [self = shared_from_this(), stream, timer](asio::error_code ec) {
                                    timer->cancel();
                                    if (ec) {
                                        ++self->rejected;
                                        return;
                                    }
                                    self->addConnection(std::move(*stream));
                                });
    }

    void addConnection(TlsStream stream)
    {
        auto connection = std::make_shared<H2ServerConnection>(
            std::move(stream), handler, [weak = weak_from_this()](H2ServerConnection *closed) {
                if (const auto self = weak.lock()) {
                    self->connections.erase(std::static_pointer_cast<H2ServerConnection>(closed->shared_from_this()));
                }
            });
        connections.insert(connection);
        connection->start();
    }
};

H2Server::H2Server(asio::io_context &io, PeerTls &tls, const std::string &address, std::uint16_t port, Handler handler)
    : m_impl(std::make_shared<Impl>(
        io, tls, asio::ip::tcp::endpoint(asio::ip::make_address(address), port), std::move(handler)))
{
    m_impl->accept();
}

H2Server::~H2Server()
{
    stopListening();
    const auto connections = std::move(m_impl->connections);
    m_impl->connections.clear();
    for (const auto &it : connections) {
        it->close("server stopped");
    }
}

std::uint16_t H2Server::port() const
{
    return m_impl->acceptor.local_endpoint().port();
}

std::size_t H2Server::connectionCount() const
{
    return m_impl->connections.size();
}

std::size_t H2Server::openStreamCount() const
{
    std::size_t n = 0;
    for (const auto &it : m_impl->connections) {
        n += it->openStreamCount();
    }
    return n;
}

std::uint64_t H2Server::rejectedHandshakes() const
{
    return m_impl->rejected;
}

void H2Server::stopListening()
{
    asio::error_code ec;
    m_impl->acceptor.close(ec);
}

void H2Server::drain()
{
    for (const auto &it : m_impl->connections) {
        it->drain();
    }
}

} // namespace turmericline
