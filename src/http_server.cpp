#include "http_server.h"

#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <asio/post.hpp>

#include <algorithm>
#include <unordered_map>

namespace turmericline {

namespace {

restinio::http_status_line_t statusLine(int status)
{
    switch (status) {
    case 200:
        return restinio::status_ok();
    case 304:
        return restinio::status_not_modified();
    case 400:
        return restinio::status_bad_request();
    case 401:
        return restinio::status_unauthorized();
    case 403:
        return restinio::status_forbidden();
    case 404:
        return restinio::status_not_found();
    case 405:
        return restinio::status_method_not_allowed();
    case 409:
        return restinio::status_conflict();
    case 413:
        return restinio::status_payload_too_large();
    case 422:
        return restinio::status_unprocessable_entity();
    case 429:
        return restinio::status_too_many_requests();
    case 431:
        return restinio::status_request_header_fields_too_large();
    case 500:
        return restinio::status_internal_server_error();
    case 502:
        return restinio::status_bad_gateway();
    case 503:
        return restinio::status_service_unavailable();
    case 504:
        return restinio::status_gateway_time_out();
    default:
        return {restinio::http_status_code_t{static_cast<std::uint16_t>(status)}, "Status"};
    }
}

template<typename Builder>
void addHeaders(Builder &builder, HttpHeaders &headers)
{
    for (auto &[name, value] : headers) {
        builder.append_header(std::move(name), std::move(value));
    }
}

struct Connection
{
    bool isExcess = false; ///< Accepted beyond the limit.
    bool isBusy = false; ///< The handler has a request that is not yet answered.
    restinio::request_handle_t pipelined; ///< Pipelined request that waits for that response.
};

/** Open connections of one server, updated as RESTinio's connection state listener. */
struct ConnectionTable : public std::enable_shared_from_this<ConnectionTable>
{
    ConnectionTable(asio::io_context &context, const HttpServerConfig &serverConfig)
        : io(context)
        , config(serverConfig)
    {
    }

    asio::io_context &io;
    const HttpServerConfig config;
    std::unordered_map<std::uint64_t, Connection> open;
    std::size_t unwrittenCount = 0; ///< Completed responses of which some bytes have not been written.
    HttpServer::Handler onRequest;
    HttpServer::CloseHandler onClose;

    void dispatch(restinio::request_handle_t handle);
    /** Returns a handler for the end of the last write of a response, which RESTinio calls in any case. */
    restinio::write_status_cb_t trackWrite();
    /** The current request has been answered; dispatches the pipelined one unless the connection closes. */
    void finish(std::uint64_t id, bool isClosing);

    // Name required by RESTinio.
    void
    state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        const auto id = notice.connection_id();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            const bool isExcess = open.size() >= config.maxConnections;
            open[id].isExcess = isExcess;
        } else if (open.erase(id) != 0 && onClose) {
            onClose(id);
        }
    }
};

template<typename Base>
struct ServerTraits : public Base
{
    using connection_state_listener_t = ConnectionTable;
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

using PlainTraits = ServerTraits<restinio::default_single_thread_traits_t>;
using TlsTraits
    = ServerTraits<restinio::single_thread_tls_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>>;

class RestinioResponder final : public HttpResponder
{
public:
    RestinioResponder(restinio::request_handle_t request, std::shared_ptr<ConnectionTable> connections, bool isClosing)
        : m_request(std::move(request))
        , m_connections(std::move(connections))
        , m_isClosing(isClosing)
    {
    }

    void reply(int status, HttpHeaders headers, std::string body) override
    {
        if (!m_request) {
            return;
        }
        auto builder = m_request->create_response(statusLine(status));
        addHeaders(builder, headers);
        builder.set_body(std::move(body));
        if (m_isClosing) {
            builder.connection_close();
        }
        builder.done(m_connections->trackWrite());
        finish();
    }

    void beginStream(int status, HttpHeaders headers) override
    {
        if (!m_request) {
            return;
        }
        m_stream.emplace(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_stream, headers);
        if (m_isClosing) {
            m_stream->connection_close();
        }
        m_stream->flush();
    }

    void write(std::string chunk, WriteHandler done) override
    {
        if (!m_stream) {
            if (done) {
                done(false);
            }
            return;
        }
        m_stream->append_chunk(std::move(chunk));
        if (done) {
            m_stream->flush([done = std::move(done)](const asio::error_code &ec) {
                done(!ec);
            });
        } else {
            m_stream->flush();
        }
    }

    void endStream() override
    {
        if (m_stream) {
            m_stream->done(m_connections->trackWrite());
            m_stream.reset();
            finish();
        }
    }

private:
    void finish()
    {
        const auto id = m_request->connection_id();
        m_request.reset();
        m_connections->finish(id, m_isClosing);
    }

    restinio::request_handle_t m_request;
    std::shared_ptr<ConnectionTable> m_connections;
    bool m_isClosing;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_stream;
};

/** Removes trailing whitespace, which the parser leaves in and HTTP/2 rejects. */
std::string_view trimTrailingWhitespace(std::string_view value)
{
    return value.substr(0, value.find_last_not_of(" \t") + 1);
}

bool isUpgrade(const restinio::request_handle_t &handle)
{
    return handle->header().connection() == restinio::http_connection_header_t::upgrade
           || handle->header().method() == restinio::http_method_connect();
}

HttpRequest toRequest(const restinio::request_handle_t &handle, const HttpServerConfig &config)
{
    constexpr std::size_t fieldOverhead = 4; // Colon, space and CRLF.
    HttpRequest request;
    request.connection = handle->connection_id();
    request.method = handle->header().method().c_str();
    request.path = handle->header().path();
    request.query = handle->header().query();
    request.body = handle->body();
    auto headBytes = request.method.size() + handle->header().request_target().size() + fieldOverhead;
    handle->header().for_each_field([&](const restinio::http_header_field_t &field) {
        request.headers.emplace_back(field.name(), trimTrailingWhitespace(field.value()));
        headBytes += field.name().size() + field.value().size() + fieldOverhead;
    });
    request.isHeadTooLarge = headBytes > config.maxHeaderBytes || request.headers.size() > config.maxHeaderCount;
    request.owner = handle;
    return request;
}

void ConnectionTable::dispatch(restinio::request_handle_t handle)
{
    const auto it = open.find(handle->connection_id());
    if (it == open.end() || !onRequest) {
        return;
    }
    if (it->second.isBusy) {
        it->second.pipelined = std::move(handle);
        return;
    }
    it->second.isBusy = true;
    auto request = toRequest(handle, config);
    request.isExcessConnection = it->second.isExcess;
    // Upgrades are not supported, and the bytes after an upgrade request may be another protocol.
    const bool isClosing = it->second.isExcess || isUpgrade(handle) || !handle->header().should_keep_alive();
    onRequest(std::move(request),
              std::make_shared<RestinioResponder>(std::move(handle), shared_from_this(), isClosing));
}

restinio::write_status_cb_t ConnectionTable::trackWrite()
{
    ++unwrittenCount;
    return [self = weak_from_this()](const asio::error_code &) {
        if (const auto table = self.lock()) {
            --table->unwrittenCount;
        }
    };
}

void ConnectionTable::finish(std::uint64_t id, bool isClosing)
{
    const auto it = open.find(id);
    if (it == open.end()) {
        return;
    }
    it->second.isBusy = isClosing; // A request after the connection's last response is not handled.
    auto next = std::exchange(it->second.pipelined, {});
    if (next && !isClosing) {
        asio::post(io, [self = shared_from_this(), handle = std::move(next)]() mutable {
            self->dispatch(std::move(handle));
        });
    }
}

/** Number of connections that are accepted beyond the limit, only to be answered 503. */
std::size_t excessConnectionLimit(std::size_t maxConnections)
{
    constexpr std::size_t minimum = 32;
    return std::max(minimum, maxConnections / 4);
}

/** Common interface of plain and TLS RESTinio servers. */
struct ServerBase
{
    virtual ~ServerBase() = default;
    virtual void close() = 0;
};

/**
 * Keeps the RESTinio servers of destroyed HttpServers alive until the io_context has destroyed their connections,
 * because each connection refers to its server's connection counter until its own destruction.
 */
class ClosedServers final : public asio::execution_context::service
{
public:
    using key_type = ClosedServers; // NOLINT(readability-identifier-naming)
    static inline asio::execution_context::id id;

    explicit ClosedServers(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

    void add(std::unique_ptr<ServerBase> server)
    {
        m_servers.push_back(std::move(server));
    }

private:
    void shutdown() override
    {
        // The servers must not be destroyed here, as the services that hold the connections are shut down later.
    }

    std::vector<std::unique_ptr<ServerBase>> m_servers;
};

template<typename Traits>
struct ServerHolder final : public ServerBase
{
    restinio::http_server_t<Traits> server;

    ServerHolder(asio::io_context &io, restinio::server_settings_t<Traits> &&settings)
        : server(restinio::external_io_context(io), std::move(settings))
    {
        server.open_sync();
    }

    void close() override
    {
        server.close_sync();
    }
};

template<typename Traits>
restinio::server_settings_t<Traits>
makeSettings(const HttpServerConfig &config, const std::shared_ptr<ConnectionTable> &connections, std::uint16_t &port)
{
    constexpr auto requestTimeout = std::chrono::hours(24); // Effectively none: the entry enforces its own deadlines.
    restinio::server_settings_t<Traits> settings;
    settings.address(config.address)
        .port(config.port)
        .read_next_http_message_timelimit(config.readTimeout)
        .write_http_response_timelimit(config.writeTimeout)
        .handle_request_timeout(requestTimeout)
        .max_parallel_connections(config.maxConnections + excessConnectionLimit(config.maxConnections))
        .max_pipelined_requests(config.readsAhead ? 2U : 1U) // RESTinio reads only while it may queue a request.
        .connection_state_listener(connections)
        .socket_options_setter([](auto &options) {
            options.set_option(asio::ip::tcp::no_delay{true});
        })
        .acceptor_post_bind_hook([&port](asio::ip::tcp::acceptor &acceptor) {
            port = acceptor.local_endpoint().port();
        })
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(2U * config.maxHeaderBytes)
                                      .max_field_name_size(2U * config.maxHeaderBytes)
                                      .max_field_value_size(2U * config.maxHeaderBytes)
                                      .max_field_count(2U * config.maxHeaderCount)
                                      .max_body_size(2U * config.maxBodyBytes))
        .request_handler([connections](restinio::request_handle_t handle) {
            connections->dispatch(std::move(handle));
            return restinio::request_accepted();
        });
    return settings;
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

HttpServerConfig peerServerConfig(const asio::ip::tcp::endpoint &endpoint, std::size_t maxBodyBytes)
{
    // Other processes keep one or two connections each.
    constexpr std::size_t maxPeerConnections = 512;
    constexpr std::chrono::seconds peerReadTimeout{30};
    HttpServerConfig config;
    config.address = endpoint.address().to_string();
    config.port = endpoint.port();
    config.maxBodyBytes = maxBodyBytes;
    config.maxConnections = maxPeerConnections;
    config.readTimeout = peerReadTimeout;
    return config;
}

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

struct HttpServer::Impl
{
    asio::io_context *io = nullptr;
    std::shared_ptr<ConnectionTable> connections;
    std::uint16_t port = 0;
    std::unique_ptr<ServerBase> server;
};

HttpServer::HttpServer(asio::io_context &io,
                       const HttpServerConfig &config,
                       const Handler &handler,
                       CloseHandler onClose)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->io = &io;
    m_impl->connections = std::make_shared<ConnectionTable>(io, config);
    m_impl->connections->onRequest = handler;
    m_impl->connections->onClose = std::move(onClose);
    if (config.tls) {
        auto settings = makeSettings<TlsTraits>(config, m_impl->connections, m_impl->port);
        settings.tls_context(config.tls);
        m_impl->server = std::make_unique<ServerHolder<TlsTraits>>(io, std::move(settings));
    } else {
        m_impl->server = std::make_unique<ServerHolder<PlainTraits>>(
            io, makeSettings<PlainTraits>(config, m_impl->connections, m_impl->port));
    }
}

HttpServer::~HttpServer()
{
    // Connections outlive this object, so they must not call its owner's handlers any more.
    m_impl->connections->onClose = {};
    m_impl->connections->onRequest = {};
    // Breaks a reference cycle: a waiting request owns its connection, which owns the table, which owns the request.
    std::vector<restinio::request_handle_t> pipelined;
    for (auto &[id, connection] : m_impl->connections->open) {
        pipelined.push_back(std::move(connection.pipelined));
    }
    m_impl->server->close();
    asio::use_service<ClosedServers>(*m_impl->io).add(std::move(m_impl->server));
}

std::uint16_t HttpServer::port() const
{
    return m_impl->port;
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->connections->open.size();
}

std::size_t HttpServer::unwrittenCount() const
{
    return m_impl->connections->unwrittenCount;
}

void HttpServer::stopListening()
{
    m_impl->server->close();
}

} // namespace turmericline
