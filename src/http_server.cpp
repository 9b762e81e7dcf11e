#include "http_server.h"

#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <algorithm>
#include <unordered_set>

namespace turmericline {

namespace {

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

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

/** Open connections of one server, kept by RESTinio's state listener. */
struct ConnectionTable
{
    std::unordered_set<std::uint64_t> open;
    HttpServer::CloseHandler onClose;

    // Name required by RESTinio.
    void
    state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        const auto id = notice.connection_id();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            open.insert(id);
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
    explicit RestinioResponder(restinio::request_handle_t request)
        : m_request(std::move(request))
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
        builder.done();
        m_request.reset();
    }

    void beginStream(int status, HttpHeaders headers) override
    {
        if (!m_request) {
            return;
        }
        m_stream.emplace(m_request->create_response<restinio::chunked_output_t>(statusLine(status)));
        addHeaders(*m_stream, headers);
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
            m_stream->done();
            m_stream.reset();
            m_request.reset();
        }
    }

private:
    restinio::request_handle_t m_request;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> m_stream;
};

HttpRequest toRequest(const restinio::request_handle_t &handle)
{
    HttpRequest request;
    request.connection = handle->connection_id();
    request.method = handle->header().method().c_str();
    request.path = handle->header().path();
    request.query = handle->header().query();
    request.body = handle->body();
    handle->header().for_each_field([&request](const restinio::http_header_field_t &field) {
        request.headers.emplace_back(field.name(), field.value());
    });
    request.owner = handle;
    return request;
}

/** Type-erased RESTinio server, so that plain and TLS servers share one interface. */
struct ServerBase
{
    virtual ~ServerBase() = default;
    virtual void close() = 0;
};

/**
 * Keeps the servers whose HttpServer is gone until the io_context has dropped their connections, because each
 * connection refers to its server's connection counter up to its own destruction.
 */
class RetiredServers final : public asio::execution_context::service
{
public:
    using key_type = RetiredServers; // NOLINT(readability-identifier-naming)
    static inline asio::execution_context::id id;

    explicit RetiredServers(asio::execution_context &context)
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
        // Not here: the services that hold the connections are shut down later.
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
restinio::server_settings_t<Traits> makeSettings(const HttpServerConfig &config,
                                                 const HttpServer::Handler &handler,
                                                 std::shared_ptr<ConnectionTable> connections,
                                                 std::uint16_t &port)
{
    constexpr auto requestTimeout = std::chrono::hours(24); // The entry enforces its own deadlines on streams.
    restinio::server_settings_t<Traits> settings;
    settings.address(config.address)
        .port(config.port)
        .read_next_http_message_timelimit(config.readTimeout)
        .write_http_response_timelimit(config.writeTimeout)
        .handle_request_timeout(requestTimeout)
        .max_parallel_connections(config.maxConnections)
        .connection_state_listener(std::move(connections))
        .socket_options_setter([](auto &options) {
            options.set_option(asio::ip::tcp::no_delay{true});
        })
        .acceptor_post_bind_hook([&port](asio::ip::tcp::acceptor &acceptor) {
            port = acceptor.local_endpoint().port();
        })
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(config.maxHeaderBytes)
                                      .max_field_name_size(256U)
                                      .max_field_value_size(config.maxHeaderBytes)
                                      .max_field_count(config.maxHeaderCount)
                                      .max_body_size(2U * config.maxBodyBytes))
        .request_handler([handler](restinio::request_handle_t handle) {
            auto request = toRequest(handle);
            handler(std::move(request), std::make_shared<RestinioResponder>(std::move(handle)));
            return restinio::request_accepted();
        });
    return settings;
}

} // namespace

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
    std::shared_ptr<ConnectionTable> connections = std::make_shared<ConnectionTable>();
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
    m_impl->connections->onClose = std::move(onClose);
    if (config.tls) {
        auto settings = makeSettings<TlsTraits>(config, handler, m_impl->connections, m_impl->port);
        settings.tls_context(config.tls);
        m_impl->server = std::make_unique<ServerHolder<TlsTraits>>(io, std::move(settings));
    } else {
        m_impl->server = std::make_unique<ServerHolder<PlainTraits>>(
            io, makeSettings<PlainTraits>(config, handler, m_impl->connections, m_impl->port));
    }
}

HttpServer::~HttpServer()
{
    // Connections outlive the server object, so they must not call into the owner any more.
    m_impl->connections->onClose = {};
    m_impl->server->close();
    asio::use_service<RetiredServers>(*m_impl->io).add(std::move(m_impl->server));
}

std::uint16_t HttpServer::port() const
{
    return m_impl->port;
}

std::size_t HttpServer::connectionCount() const
{
    return m_impl->connections->open.size();
}

void HttpServer::stopListening()
{
    m_impl->server->close();
}

} // namespace turmericline
