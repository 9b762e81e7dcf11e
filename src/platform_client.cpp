#include "platform_client.h"

#include "log.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <memory>

namespace turmericline {

namespace {

constexpr std::size_t maxPlatformBytes = 4U << 20U;
constexpr std::chrono::milliseconds instancesTimeout{5'000};
/** Bounds the duration of a read, so that slow reads do not exceed the budget of the configuration service. */
constexpr std::chrono::milliseconds readTimeout{2'000};

/** Returns the version in the header X-Version; 0 if there is none. */
std::uint64_t servedVersion(const HttpHeaders &headers)
{
    std::uint64_t version = 0;
    for (const auto &[name, value] : headers) {
        if (name == "X-Version" || name == "x-version") {
            std::from_chars(value.data(), value.data() + value.size(), version);
        }
    }
    return version;
}

} // namespace

PlatformClient::PlatformClient(asio::io_context &io, HttpClient &http, PlatformClientConfig config, Handlers handlers)
    : m_http(http)
    , m_config(std::move(config))
    , m_handlers(std::move(handlers))
    , m_watchTimer(io)
    , m_instancesTimer(io)
{
}

PlatformClient::~PlatformClient()
{
    m_http.cancel(m_watchRequest);
    m_http.cancel(m_instancesRequest);
}

void PlatformClient::start()
{
    if (!m_config.configUrl.empty()) {
        scheduleRead();
    }
    if (!m_config.instancesUrl.empty()) {
        pollInstances();
    }
}

void PlatformClient::scheduleRead()
{
    m_watchTimer.expires_at(m_handlers.nextRead());
    m_watchTimer.async_wait([this](asio::error_code ec) {
        if (ec) {
            return;
        }
        // A confirmation received in the meantime may have postponed the next read.
        if (std::chrono::steady_clock::now() < m_handlers.nextRead()) {
            scheduleRead();
        } else {
            read();
        }
    });
}

void PlatformClient::read()
{
    const auto known = m_handlers.knownVersion();
    HttpClientRequest request;
    request.url = m_config.configUrl + "/v1/document?after=" + std::to_string(known);
    const bool isWatch = known != 0 && m_handlers.isWatcher();
    if (isWatch) {
        request.url += "&wait_ms=" + std::to_string(m_config.watchWait.count());
    }
    request.totalTimeout = (isWatch ? m_config.watchWait : std::chrono::milliseconds(0)) + readTimeout;
    request.maxBytes = maxPlatformBytes;
    ++m_calls;
    auto body = std::make_shared<std::string>();
    auto served = std::make_shared<std::uint64_t>(0);
    m_watchRequest = m_http.start(std::move(request),
                                  {[served](int, const HttpHeaders &headers) {
                                       *served = servedVersion(headers);
                                   },
                                   [body](std::string_view chunk) {
                                       if (body->size() + chunk.size() <= maxPlatformBytes) {
                                           body->append(chunk);
                                       }
                                   },
                                   [this, body, served, known](const HttpClientResult &result) {
                                       onRead(result, std::move(*body), known, *served);
                                   }});
}

void PlatformClient::onRead(const HttpClientResult &result, std::string body, std::uint64_t known, std::uint64_t served)
{
    auto ended = ReadResult::Failed;
    if (result.complete && result.status == 200) {
        m_handlers.onDocument(std::move(body));
        ended = served >= known ? ReadResult::Confirmed : ReadResult::Stale;
    } else if (result.complete && result.status == 304) {
        ended = served >= known ? ReadResult::Confirmed : ReadResult::Stale;
    } else {
        logEvent(LogLevel::Warning,
                 "configuration service did not answer",
                 {{"status", result.status}, {"reason", result.error}});
    }
    m_handlers.onReadEnded(ended);
    scheduleRead();
}

void PlatformClient::pollInstances()
{
    HttpClientRequest request;
    request.url = m_config.instancesUrl + "/v1/instances";
    request.totalTimeout = instancesTimeout;
    request.maxBytes = maxPlatformBytes;
    ++m_calls;
    auto body = std::make_shared<std::string>();
    m_instancesRequest
        = m_http.start(std::move(request),
                       {{},
                        [body](std::string_view chunk) {
                            if (body->size() + chunk.size() <= maxPlatformBytes) {
                                body->append(chunk);
                            }
                        },
                        [this, body](const HttpClientResult &result) {
                            if (result.complete && result.status == 200) {
                                if (auto list = parseInstances(*body)) {
                                    m_handlers.onInstances(std::move(*list.value));
                                } else {
                                    logEvent(LogLevel::Warning, "instance list rejected", {{"reason", list.reason}});
                                }
                            }
                            m_instancesTimer.expires_after(m_config.instancesInterval);
                            m_instancesTimer.async_wait([this](asio::error_code ec) {
                                if (!ec) {
                                    pollInstances();
                                }
                            });
                        }});
}

namespace {

Result<InstanceInfo> parseInstance(const nlohmann::json &json)
{
    InstanceInfo row;
    for (const auto &[name, member] : {std::pair{"name", &InstanceInfo::name},
                                       std::pair{"role", &InstanceInfo::role},
                                       std::pair{"domain", &InstanceInfo::domain},
                                       std::pair{"address", &InstanceInfo::address}}) {
        if (!json.is_object() || !json.contains(name) || !json[name].is_string()) {
            return Result<InstanceInfo>::fail(std::string("row without the string field ") + name);
        }
        row.*member = json[name].get<std::string>();
    }
    const auto state = json.find("state");
    if (state != json.end() && !state->is_string()) {
        return Result<InstanceInfo>::fail("the state is no string");
    }
    row.isLeaving = state != json.end() && *state == "leaving";
    return Result<InstanceInfo>::ok(std::move(row));
}

} // namespace

Result<std::vector<InstanceInfo>> parseInstances(std::string_view text)
{
    using List = std::vector<InstanceInfo>;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array()) {
        return Result<List>::fail("expected a JSON array");
    }
    List list;
    for (const auto &it : json) {
        auto row = parseInstance(it);
        if (!row) {
            // The others stay in use.
            logEvent(LogLevel::Warning, "instance ignored", {{"reason", row.reason}});
            continue;
        }
        list.push_back(std::move(*row.value));
    }
    return Result<List>::ok(std::move(list));
}

} // namespace turmericline
