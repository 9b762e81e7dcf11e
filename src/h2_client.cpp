#include "h2_client.h"

#include "address.h"

#include "h2_connection.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <openssl/ssl.h>

#include <charconv>
#include <unordered_map>
#include <vector>

namespace turmericline {

namespace {

/** Statuses of final answers, RFC 9110 section 15. */
constexpr int minFinalStatus = 200;
constexpr int maxFinalStatus = 599;

/** State of a request from start() until it ends. */
struct ClientStream
{
    H2Request request;
    H2Handlers handlers;
    std::int32_t http2Id = 0; ///< HTTP/2 stream id; 0 until the request is submitted to a connection.
    int status = 0;
    HttpHeaders headers;
    HttpHeaders trailers;
    bool headReceived = false;
    bool ended = false;
};

} // namespace

class H2ClientConnection final : public H2Connection
{
public:
    H2ClientConnection(TlsStream stream, H2Client::Impl &owner)
        : H2Connection(std::move(stream), Side::Client)
        , m_owner(&owner)
    {
    }

    std::int32_t submit(H2Request &request)
    {
        HttpHeaders all{
            {":method", request.method}, {":scheme", "https"}, {":path", request.path}, {":authority", "peer"}};
        all.insert(all.end(), request.headers.begin(), request.headers.end());
        const auto nva = toNameValues(all);
        const auto provider = bodyProvider();
        const bool hasBody = !request.body.empty();
        const auto id = nghttp2_submit_request(
            session(), nullptr, nva.data(), nva.size(), hasBody ? &provider : nullptr, nullptr);
        if (id > 0 && hasBody) {
            queueBody(id, std::move(request.body));
            endBody(id, {});
        }
        scheduleFlush();
        return id;
    }

    void reset(std::int32_t id)
    {
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        scheduleFlush();
    }

    void consume(std::int32_t id, std::size_t bytes)
    {
        nghttp2_session_consume(session(), id, bytes);
        scheduleFlush();
    }

    void ping()
    {
        nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
        scheduleFlush();
    }

    /** True if no new streams may be opened, as after a GOAWAY frame of the peer. */
    bool isGoingAway()
    {
        return nghttp2_session_check_request_allowed(session()) == 0;
    }

    void detach()
    {
        m_owner = nullptr;
    }

protected:
    void onHeader(std::int32_t id, std::string_view name, std::string_view value) override;
    void onHeadersEnd(std::int32_t id, bool isTrailer) override;
    void onData(std::int32_t id, std::string_view data) override;
    void onStreamEnd(std::int32_t id) override;
    void onStreamClosed(std::int32_t id, std::uint32_t errorCode) override;
    void onPong() override;
    void onClosed(const std::string &reason) override;

private:
    H2Client::Impl *m_owner;
};

struct H2Client::Impl : public std::enable_shared_from_this<H2Client::Impl>
{
    asio::io_context &io;
    PeerTls &tls;
    std::string address;
    H2ClientConfig config;
    std::shared_ptr<H2ClientConnection> connection;
    bool isConnecting = false;
    bool stopped = false;
    std::unordered_map<StreamId, ClientStream> streams;
    std::unordered_map<std::int32_t, StreamId> idsByHttp2Id;
    StreamId lastId = 0;
    asio::steady_timer pingTimer;
    std::chrono::steady_clock::time_point lastReceived;
    bool pingScheduled = false;
    asio::steady_timer idleTimer;
    std::chrono::steady_clock::time_point lastUsed;

    Impl(asio::io_context &context, PeerTls &peerTls, std::string addr, H2ClientConfig cfg)
        : io(context)
        , tls(peerTls)
        , address(std::move(addr))
        , config(cfg)
        , pingTimer(context)
        , idleTimer(context)
    {
    }

    ClientStream *find(std::int32_t http2Id)
    {
        lastReceived = std::chrono::steady_clock::now();
        const auto it = idsByHttp2Id.find(http2Id);
        return it == idsByHttp2Id.end() ? nullptr : &streams.at(it->second);
    }

    void finish(StreamId id, const H2Result &result)
    {
        const auto it = streams.find(id);
        if (it == streams.end()) {
            return;
        }
        lastUsed = std::chrono::steady_clock::now();
        const auto handlers = std::move(it->second.handlers);
        idsByHttp2Id.erase(it->second.http2Id);
        streams.erase(it);
        if (handlers.onDone) {
            handlers.onDone(result);
        }
    }

    /** Fails every stream; only those that were never submitted are known not to be processed. */
    void failAll(const std::string &reason)
    {
        std::vector<std::pair<StreamId, bool>> ids;
        for (const auto &[id, it] : streams) {
            ids.emplace_back(id, it.http2Id != 0);
        }
        for (const auto &[id, sent] : ids) {
            finish(id, {false, sent, {}, reason});
        }
    }

    void submit(ClientStream &stream, StreamId id)
    {
        const auto http2Id = connection->submit(stream.request);
        if (http2Id <= 0) {
            asio::post(io, [self = shared_from_this(), id] {
                self->finish(id, {false, false, {}, "stream limit of the connection reached"});
            });
            return;
        }
        stream.http2Id = http2Id;
        idsByHttp2Id.emplace(http2Id, id);
        schedulePing();
    }

    void submitWaiting()
    {
        for (auto &[id, it] : streams) {
            if (it.http2Id == 0) {
                submit(it, id);
            }
        }
    }

    void connect();
    void onConnected(TlsStream stream);
    void schedulePing();
    void scheduleIdleClose();
};

void H2ClientConnection::onHeader(std::int32_t id, std::string_view name, std::string_view value)
{
    auto *stream = m_owner != nullptr ? m_owner->find(id) : nullptr;
    if (stream == nullptr) {
        return;
    }
    if (name == ":status") {
        std::from_chars(value.data(), value.data() + value.size(), stream->status);
    } else {
        (stream->headReceived ? stream->trailers : stream->headers).emplace_back(name, value);
    }
}

void H2ClientConnection::onHeadersEnd(std::int32_t id, bool)
{
    auto *stream = m_owner != nullptr ? m_owner->find(id) : nullptr;
    if (stream == nullptr || stream->headReceived) {
        return;
    }
    stream->headReceived = true;
    if (const auto handler = stream->handlers.onHead) {
        const auto headers = std::move(stream->headers);
        handler(stream->status, headers);
    }
}

void H2ClientConnection::onData(std::int32_t id, std::string_view data)
{
    auto *stream = m_owner != nullptr ? m_owner->find(id) : nullptr;
    if (stream == nullptr || !stream->handlers.onBody) {
        nghttp2_session_consume(session(), id, data.size());
        return;
    }
    const auto handler = stream->handlers.onBody; // Copied, because the handler may cancel, and so destroy, the stream.
    handler(data);
}

void H2ClientConnection::onStreamEnd(std::int32_t id)
{
    if (auto *stream = m_owner != nullptr ? m_owner->find(id) : nullptr) {
        stream->ended = true;
    }
}

void H2ClientConnection::onStreamClosed(std::int32_t id, std::uint32_t errorCode)
{
    auto *stream = m_owner != nullptr ? m_owner->find(id) : nullptr;
    if (stream == nullptr) {
        return;
    }
    H2Result result;
    const bool hasFinalStatus = stream->status >= minFinalStatus && stream->status <= maxFinalStatus;
    result.complete = stream->ended && errorCode == NGHTTP2_NO_ERROR && hasFinalStatus;
    // RFC 9113 section 8.7: a refused stream, or one above the last stream id of a GOAWAY, was not processed.
    result.sent = errorCode != NGHTTP2_REFUSED_STREAM;
    result.trailers = std::move(stream->trailers);
    if (stream->ended && !hasFinalStatus) {
        result.error = "the status of the answer is outside the protocol";
    } else if (!result.complete) {
        result.error = std::string("stream reset: ") + nghttp2_http2_strerror(errorCode);
    }
    m_owner->finish(m_owner->idsByHttp2Id.at(id), result);
}

void H2ClientConnection::onPong()
{
    if (m_owner != nullptr) {
        m_owner->lastReceived = std::chrono::steady_clock::now();
    }
}

void H2ClientConnection::onClosed(const std::string &reason)
{
    if (m_owner == nullptr) {
        return;
    }
    const auto owner = m_owner->shared_from_this();
    m_owner = nullptr;
    owner->connection.reset();
    owner->failAll(reason);
}

void H2Client::Impl::connect()
{
    isConnecting = true;
    const auto parsed = parseAddress(address);
    asio::error_code ec;
    const auto ip = asio::ip::make_address(parsed ? parsed.value->first : "", ec);
    if (!parsed || ec) {
        asio::post(io, [self = shared_from_this()] {
            self->isConnecting = false;
            self->failAll("invalid address " + self->address);
        });
        return;
    }
    auto stream = std::make_shared<TlsStream>(io, tls.clientContext());
    auto timer = std::make_shared<asio::steady_timer>(io, config.connectTimeout);
    timer->async_wait([stream](asio::error_code timerError) {
        if (!timerError) {
            asio::error_code ignored;
            stream->lowest_layer().close(ignored);
        }
    });
    const auto fail = [self = shared_from_this(), timer](const std::string &reason) {
        timer->cancel();
        self->isConnecting = false;
        self->failAll("cannot connect to " + self->address + ": " + reason);
    };
    stream->lowest_layer().async_connect(
        {ip, parsed.value->second}, [self = shared_from_this(), stream, timer, fail](asio::error_code connectError) {
            if (connectError) {
                fail(connectError.message());
                return;
            }
            asio::error_code ignored;
            stream->lowest_layer().set_option(asio::ip::tcp::no_delay(true), ignored);
            stream->async_handshake(asio::ssl::stream_base::client,
                                    [self, stream, timer, fail](asio::error_code handshakeError) {
                                        if (handshakeError) {
                                            fail(handshakeError.message());
                                            return;
                                        }
                                        // Resumption is off, so only a PSK handshake counts as a reused session.
                                        if (SSL_session_reused(stream->native_handle()) != 1) {
                                            fail("peer did not use the pre-shared key");
                                            return;
                                        }
                                        timer->cancel();
                                        self->isConnecting = false;
                                        self->onConnected(std::move(*stream));
                                    });
        });
}

void H2Client::Impl::onConnected(TlsStream stream)
{
    if (stopped) {
        return;
    }
    connection = std::make_shared<H2ClientConnection>(std::move(stream), *this);
    lastReceived = std::chrono::steady_clock::now();
    lastUsed = lastReceived;
    connection->start();
    submitWaiting();
    scheduleIdleClose();
}

void H2Client::Impl::scheduleIdleClose()
{
    idleTimer.expires_at(lastUsed + config.idleTimeout);
    idleTimer.async_wait([weak = weak_from_this()](asio::error_code ec) {
        const auto self = weak.lock();
        if (!self || ec || !self->connection) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        if (!self->streams.empty()) {
            self->lastUsed = now;
        }
        if (now - self->lastUsed < self->config.idleTimeout) {
            self->scheduleIdleClose();
            return;
        }
        const auto idle = self->connection;
        idle->close("idle");
    });
}

void H2Client::Impl::schedulePing()
{
    if (pingScheduled || stopped) {
        return;
    }
    pingScheduled = true;
    pingTimer.expires_after(config.pingInterval);
    pingTimer.async_wait([weak = weak_from_this()](asio::error_code ec) {
        const auto self = weak.lock();
        if (!self || ec) {
            return;
        }
        self->pingScheduled = false;
        if (!self->connection || self->idsByHttp2Id.empty()) {
            return;
        }
        const auto silence = std::chrono::steady_clock::now() - self->lastReceived;
        if (silence > self->config.pingTimeout) {
            const auto lost = self->connection;
            lost->close("peer does not answer");
            return;
        }
        if (silence >= self->config.pingInterval) {
            self->connection->ping();
        }
        self->schedulePing();
    });
}

H2Client::H2Client(asio::io_context &io, PeerTls &tls, std::string address, H2ClientConfig config)
    : m_impl(std::make_shared<Impl>(io, tls, std::move(address), config))
{
}

H2Client::~H2Client()
{
    m_impl->stopped = true;
    m_impl->pingTimer.cancel();
    m_impl->idleTimer.cancel();
    m_impl->streams.clear();
    m_impl->idsByHttp2Id.clear();
    if (const auto open = m_impl->connection) {
        open->detach();
        open->close("client stopped");
    }
}

H2Client::StreamId H2Client::start(H2Request request, H2Handlers handlers)
{
    auto &impl = *m_impl;
    const auto id = ++impl.lastId;
    impl.lastUsed = std::chrono::steady_clock::now();
    auto &stream = impl.streams[id];
    stream.request = std::move(request);
    stream.handlers = std::move(handlers);
    if (impl.connection && impl.connection->isGoingAway()) {
        // The draining connection accepts no new streams; it only completes those that are open.
        asio::post(impl.io, [weak = std::weak_ptr(m_impl), id] {
            if (const auto self = weak.lock()) {
                self->finish(id, {false, false, {}, "peer is draining"});
            }
        });
    } else if (impl.connection) {
        impl.submit(stream, id);
    } else if (!impl.isConnecting) {
        impl.connect();
    }
    return id;
}

void H2Client::cancel(StreamId id)
{
    auto &impl = *m_impl;
    const auto it = impl.streams.find(id);
    if (it == impl.streams.end()) {
        return;
    }
    if (it->second.http2Id != 0 && impl.connection) {
        impl.connection->reset(it->second.http2Id);
    }
    impl.idsByHttp2Id.erase(it->second.http2Id);
    impl.streams.erase(it);
}

void H2Client::consume(StreamId id, std::size_t bytes)
{
    const auto it = m_impl->streams.find(id);
    if (it != m_impl->streams.end() && it->second.http2Id != 0 && m_impl->connection) {
        m_impl->connection->consume(it->second.http2Id, bytes);
    }
}

bool H2Client::isConnected() const
{
    return m_impl->connection != nullptr;
}

std::size_t H2Client::activeCount() const
{
    return m_impl->streams.size();
}

} // namespace turmericline
