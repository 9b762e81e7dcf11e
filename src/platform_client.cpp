#include "platform_client.h"

#include "log.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace turmericline {

namespace {

constexpr std::size_t maxPlatformBytes = 4U << 20U;
/** Allowed on top of the time a watch may wait. */
constexpr std::chrono::milliseconds answerSlack{5'000};

} // namespace

PlatformClient::PlatformClient(asio::io_context &io, HttpClient &http, PlatformClientConfig config, Handlers handlers)
    : m_http(http)
    , m_config(std::move(config))
    , m_handlers(std::move(handlers))
    , m_watchTimer(io)
    , m_instancesTimer(io)
    , m_retry(m_config.minRetry)
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
        watch();
    }
    if (!m_config.instancesUrl.empty()) {
        pollInstances();
    }
}

void PlatformClient::watch()
{
    if (m_handlers.isWatcher && !m_handlers.isWatcher()) {
        watchAgain(false);
        return;
    }
    const auto known = m_handlers.knownVersion();
    HttpClientRequest request;
    request.url = m_config.configUrl + "/v1/document";
    if (known != 0) {
        request.url += "?after=" + std::to_string(known) + "&wait_ms=" + std::to_string(m_config.watchWait.count());
    }
    request.totalTimeout = m_config.watchWait + answerSlack;
    request.maxBytes = maxPlatformBytes;
    ++m_calls;
    auto body = std::make_shared<std::string>();
    m_watchRequest = m_http.start(std::move(request),
                                  {{},
                                   [body](std::string_view chunk) {
                                       if (body->size() + chunk.size() <= maxPlatformBytes) {
                                           body->append(chunk);
                                       }
                                   },
                                   [this, body](const HttpClientResult &result) {
                                       const bool ok
                                           = result.complete && (result.status == 200 || result.status == 304);
                                       if (ok && result.status == 200) {
                                           m_handlers.onDocument(std::move(*body));
                                       } else if (ok) {
                                           m_handlers.onConfirmed();
                                       } else {
                                           logEvent(LogLevel::Warning,
                                                    "configuration service did not answer",
                                                    {{"status", result.status}, {"reason", result.error}});
                                       }
                                       watchAgain(!ok);
                                   }});
}

void PlatformClient::watchAgain(bool failed)
{
    m_retry = failed ? std::min(2 * m_retry, m_config.maxRetry) : m_config.minRetry;
    m_watchTimer.expires_after(m_retry);
    m_watchTimer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            watch();
        }
    });
}

void PlatformClient::pollInstances()
{
    HttpClientRequest request;
    request.url = m_config.instancesUrl + "/v1/instances";
    request.totalTimeout = answerSlack;
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

Result<std::vector<InstanceInfo>> parseInstances(std::string_view text)
{
    using List = std::vector<InstanceInfo>;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array()) {
        return Result<List>::fail("expected a JSON array");
    }
    List list;
    for (const auto &it : json) {
        InstanceInfo row;
        for (const auto &[name, member] : {std::pair{"name", &InstanceInfo::name},
                                           std::pair{"role", &InstanceInfo::role},
                                           std::pair{"domain", &InstanceInfo::domain},
                                           std::pair{"address", &InstanceInfo::address}}) {
            if (!it.is_object() || !it.contains(name) || !it[name].is_string()) {
                return Result<List>::fail(std::string("row without the text field ") + name);
            }
            row.*member = it[name].get<std::string>();
        }
        row.isLeaving = it.value("state", std::string("live")) == "leaving";
        list.push_back(std::move(row));
    }
    return Result<List>::ok(std::move(list));
}

} // namespace turmericline
