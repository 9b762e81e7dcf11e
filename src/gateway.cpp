#include "gateway.h"

#include "exchange_log.h"
#include "feed_relay_codec.h"
#include "gateway_feed.h"
#include "log.h"
#include "server_limit_codec.h"
#include "store_config.h"
#include "suspect_codec.h"
#include "verdict.h"

#include <asio/post.hpp>

#include <csignal>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Period of the timeout checks of all connections and calls: a tenth of the shortest timeout. */
constexpr std::chrono::milliseconds tickPeriod{50};
constexpr std::chrono::milliseconds settingsCheckPeriod{1'000};
/** The requests in flight are ended this long before the end of the grace period. */
constexpr std::chrono::milliseconds exitMargin{500};
/** Time for their last bytes to be sent, until the process exits. */
constexpr std::chrono::milliseconds lastWriteTime{250};
/**
 * Requests that were in transit are still accepted for this long after the rotation time. Later ones are refused, since
 * they might not complete within the grace period.
 */
constexpr std::chrono::milliseconds drainAcceptTime{400};
/** Retry-After while draining; short, because another instance can take the request at once. */
constexpr std::chrono::milliseconds drainRetryAfter{50};

/** When the request has been answered at the latest. */
TimePoint latestAnswerAt(const ExchangeRequest &request)
{
    const auto timeout = request.rule->timeout;
    return request.arrived + std::min(timeout, request.caller.deadline.value_or(timeout));
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

RetryWindowConfig retryConfig(const GatewaySettings &settings, std::size_t gateways)
{
    return {settings.retryWindow,
            static_cast<double>(settings.retryPercent) / 100,
            retryAllowance(static_cast<double>(settings.retryAllowance), settings.retrySlack, gateways)};
}

} // namespace

Gateway::Gateway(asio::io_context &io, const GatewaySettings &settings, GatewayDialect dialect)
    : m_io(io)
    , m_settings(settings)
    , m_dialect(std::move(dialect))
    , m_random(randomSeed())
    , m_regions(parseRegions(settings.regions))
    , m_backends(settings.domain)
    , m_limits(io, m_dialect, m_backends, m_random())
    , m_suspects(io,
                 {settings.suspectHold, settings.domain, settings.peer, settings.seeds},
                 m_backends,
                 m_limits.table(),
                 m_random)
    , m_servers(m_dialect, m_backends, m_random())
    , m_rankLoads(io, m_backends, static_cast<std::uint16_t>(settings.agentPort), m_random)
    , m_pool(io)
    , m_retryConfig(retryConfig(settings, 1))
    , m_admission(m_random())
    , m_feeds(io, m_dialect, settings.store, feedHandlers(), m_random)
    , m_acceptor(io, requireEndpoint(settings.listen))
    , m_timer(io)
    , m_signals(io, SIGTERM, SIGINT, SIGHUP)
    , m_callers(settings.requestMemoryMb << 20U)
{
    const auto handlers = opsHandlers();
    const auto ready = requireEndpoint(settings.ready);
    m_readyServer = std::make_unique<OpsServer>(io, ready.address().to_string(), ready.port(), handlers);
    if (!settings.metrics.empty()) {
        const auto ops = requireEndpoint(settings.metrics);
        m_opsServer = std::make_unique<OpsServer>(io, ops.address().to_string(), ops.port(), handlers);
    }
    handlePeerCalls();
    logEvent(LogLevel::Info, "started", {{"domain", settings.domain}, {"listen", settings.listen}});
    waitForSignal();
    accept();
    tick();
}

OpsHandlers Gateway::opsHandlers()
{
    OpsHandlers handlers;
    handlers.readyPath = m_dialect.readyPath;
    handlers.isReady = [this] {
        return isReady();
    };
    handlers.metrics = [this] {
        m_metrics.setCallerMemory(*m_callers.budget(), m_callers.shedCount());
        m_metrics.setCounts(m_callers.all().size(), m_calls.size(), m_feeds.callCount(), m_pool.openedCount());
        m_metrics.setAdmission(m_admission.counts());
        m_metrics.setServers(m_servers.evacuatedDomains().size(), m_servers.coldStart());
        m_metrics.setPermits(m_limits.counts(), m_limits.table().limitedCount(), m_limits.table().ownedCount());
        return m_metrics.text();
    };
    handlers.status = [this] {
        return nlohmann::json{{"config_version", m_table ? m_table->config().version : 0},
                              {"requests_in_flight", m_calls.size()},
                              {"follows", m_feeds.followedGateway()},
                              {"suspects", m_suspects.status()},
                              {"limits", m_limits.status()},
                              {"evacuated_domains", m_servers.evacuatedDomains()}};
    };
    return handlers;
}

/** Calls of other gateways, if this one exchanges messages with any. */
void Gateway::handlePeerCalls()
{
    const auto address = m_suspects.ownAddress();
    if (address.empty()) {
        return;
    }
    m_feeds.startRelay(m_io, address);
    m_suspects.setPeerCallHandler(feedTarget,
                                  [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                                      m_feeds.onPoll(request, responder);
                                  });
    m_limits.table().setOwnAddress(address);
    m_suspects.setPeerCallHandler(permitTarget,
                                  [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                                      m_limits.onRequest(request, *responder);
                                  });
}

GatewayFeeds::Handlers Gateway::feedHandlers()
{
    GatewayFeeds::Handlers handlers;
    handlers.onConfig = [this](const StoreChange &change, std::chrono::milliseconds outage) {
        onConfig(change, outage);
    };
    handlers.onServers = [this](TimePoint now, const StoreChange &change, std::chrono::milliseconds outage) {
        onServers(now, change, outage);
    };
    handlers.configVersion = [this] {
        return m_table ? m_table->config().version : 0;
    };
    handlers.onEvacuated = [this](TimePoint now, const std::set<std::string> &domains) {
        m_servers.setEvacuated(now, domains);
    };
    handlers.evacuated = [this]() -> const std::set<std::string> & {
        return m_servers.evacuatedDomains();
    };
    return handlers;
}

std::uint16_t Gateway::port() const
{
    return m_acceptor.local_endpoint().port();
}

std::uint16_t Gateway::peerPort() const
{
    return m_suspects.port();
}

std::uint16_t Gateway::readyPort() const
{
    return m_readyServer->port();
}

void Gateway::accept()
{
    m_isAccepting = true;
    m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
        if (ec == asio::error::operation_aborted) {
            return;
        }
        if (ec) {
            // For example, out of file descriptors. The next tick starts to accept again.
            logEvent(LogLevel::Warning, "accept failed, retrying at the next tick", {{"reason", ec.message()}});
            m_isAccepting = false;
            return;
        }
        if (m_callers.makeRoom(m_settings.maxConnections)) {
            addCaller(std::move(socket));
        }
        accept();
    });
}

void Gateway::addCaller(asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<CallerConnection>(
        std::move(socket),
        m_table ? m_table->config().limits : RoutingLimits{},
        m_callers.budget(),
        [this](const std::shared_ptr<CallerConnection> &caller, HttpHead head, std::string body) {
            onRequest(caller, std::move(head), std::move(body));
        },
        [this](std::size_t bytes, std::size_t holderBytes) {
            m_callers.shed(std::chrono::steady_clock::now(), bytes, holderBytes);
        });
    m_callers.add(connection);
    if (m_drainingSince) {
        connection->drain(false);
    }
    connection->start(std::chrono::steady_clock::now());
}

void Gateway::onRequest(const std::shared_ptr<CallerConnection> &connection, HttpHead head, std::string body)
{
    const auto now = std::chrono::steady_clock::now();
    auto caller = m_dialect.readCallerFields(head);
    if (m_drainingSince && now - *m_drainingSince > m_settings.rotation + drainAcceptTime) {
        refuse(*connection, caller, {503, "the instance is stopping", drainRetryAfter});
        return;
    }
    auto routed
        = routeRequest(now, m_table, freshness(), m_regions, caller, std::move(head), std::move(body), m_random);
    if (const auto *reply = std::get_if<Reply>(&routed)) {
        refuse(*connection, caller, *reply);
        return;
    }
    auto &request = std::get<ExchangeRequest>(routed);
    if (m_drainingSince && latestAnswerAt(request) > stopAt()) {
        refuse(*connection, caller, {503, "the instance is stopping", drainRetryAfter});
        return;
    }
    request.servers = serverBasis();
    auto call = std::make_shared<GatewayCall>(std::move(request),
                                              ExchangeContext{m_backends,
                                                              m_retries,
                                                              m_retryConfig,
                                                              m_suspects.table(),
                                                              m_suspects.parts(),
                                                              m_suspects.detector(),
                                                              m_limits.table(),
                                                              m_servers.coldStart(),
                                                              m_admission,
                                                              m_random},
                                              m_dialect,
                                              m_pool,
                                              m_limits,
                                              connection,
                                              [this](const GatewayCall &ended) {
                                                  onCallEnd(ended);
                                              });
    m_calls.insert(call);
    call->start(now);
}

void Gateway::refuse(CallerConnection &connection, const CallerFields &caller, const Reply &reply)
{
    const auto confirmed = m_feeds.configConfirmedAt();
    const auto age = confirmed ? std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - *confirmed)
                               : std::chrono::milliseconds{-1};
    logEvent(LogLevel::Info,
             "request refused",
             {{"request", caller.requestId},
              {"status", reply.status},
              {"reason", reply.reason},
              {"config_version", m_table ? m_table->config().version : 0},
              {"config_age_ms", age.count()}});
    m_metrics.recordRefusal(reply.status);
    if (freshness() != ConfigFreshness::Recent) {
        // Makes the caller reconnect, which takes it to an instance that can reach the store, if there is one.
        connection.closeAfterResponse();
    }
    sendReply(connection, reply);
}

void Gateway::onCallEnd(const GatewayCall &call)
{
    const auto &request = call.exchange().request();
    const auto &summary = call.exchange().summary();
    const auto total = std::chrono::steady_clock::now() - request.arrived;
    m_metrics.recordExchange(call.exchange(), total);
    logExchange(call.exchange(), total);
    if (!summary.failedAttempts.empty()) {
        m_suspects.probeServers(std::chrono::steady_clock::now());
    }
    if (summary.hasClearedSuspicion) {
        logEvent(LogLevel::Info, "suspicion cleared", {{"fingerprint", formatFingerprint(request.fingerprint)}});
    }
    // Erased later, since a method of the call is still executing.
    asio::post(m_io, [this, ended = std::const_pointer_cast<GatewayCall>(call.shared_from_this())] {
        m_calls.erase(ended);
    });
}

void Gateway::onServers(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)
{
    const auto keptFacts = m_servers.apply(now, change, outage);
    m_metrics.recordKeptFacts(keptFacts);
    if (change.replaced) {
        m_metrics.recordNewEra();
        logNewEra(m_dialect.serverPrefix, change, outage, keptFacts);
    }
}

ServerBasis Gateway::serverBasis() const
{
    ServerBasis basis{m_feeds.serversPosition(), std::nullopt};
    if (const auto confirmed = m_feeds.serversConfirmedAt()) {
        basis.age = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - *confirmed);
    }
    return basis;
}

void Gateway::onConfig(const StoreChange &change, std::chrono::milliseconds outage)
{
    m_servers.applyOperatorChange(std::chrono::steady_clock::now(), change);
    const auto activeVersion = m_table ? m_table->config().version : 0;
    auto config = newerConfig(m_dialect, change, activeVersion);
    if (change.replaced) {
        // A copy without a newer configuration has the active one or an older one, which does not replace it.
        logNewEra(m_dialect.configKey, change, outage, m_table && !config ? 1 : 0);
    }
    if (!config) {
        return;
    }
    logEvent(LogLevel::Info,
             "configuration applied",
             {{"version", config->version}, {"replaces", activeVersion}, {"routes", config->rules.size()}});
    m_metrics.setConfigVersion(config->version);
    m_table = std::make_shared<const RoutingTable>(std::move(*config));
    m_servers.setConfig(m_table->config());
    m_admission.setConfig(m_table->config());
    for (const auto &caller : m_callers.all()) {
        caller->setLimits(m_table->config().limits);
    }
}

ConfigFreshness Gateway::freshness() const
{
    return m_table ? configFreshness(m_feeds.configConfirmedAt(), BootClock::now(), m_settings.revokeBound)
                   : ConfigFreshness::Missing;
}

bool Gateway::isReady() const
{
    return !m_drainingSince && freshness() == ConfigFreshness::Recent && m_feeds.serversConfirmedAt();
}

void Gateway::scheduleTick()
{
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](const asio::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Gateway::tick()
{
    // First, so that an error in one tick does not end all later ones.
    scheduleTick();
    const auto now = std::chrono::steady_clock::now();
    m_feeds.tick(now, m_suspects.nearGateways(now));
    m_suspects.tick(now);
    const auto fleet = m_suspects.fleetView(now);
    m_servers.tick(now, fleet.gateways);
    m_limits.tick(now, fleet, m_table.get());
    onGatewayCount(m_suspects.gatewayCount());
    m_rankLoads.tick(now);
    m_admission.setLoads(m_backends.groupLoads(now));
    const std::vector<std::shared_ptr<GatewayCall>> calls(m_calls.begin(), m_calls.end());
    for (const auto &it : calls) {
        it->tick(now);
    }
    m_pool.tick(now);
    if (!m_isAccepting) {
        accept();
    }
    checkSettingsFile(now);
    m_callers.tick(now);
    if (m_drainingSince) {
        advanceDrain(now);
    }
}

/** Updates what depends on the number of gateways: the retry allowance of this one, and the spread of reads. */
void Gateway::onGatewayCount(std::size_t gateways)
{
    m_feeds.setRereadSpread(rereadSpread(gateways));
    m_retryConfig = retryConfig(m_settings, gateways);
    for (auto &[service, window] : m_retries) {
        window.setLimits(m_retryConfig.ratio, m_retryConfig.allowance);
    }
}

void Gateway::waitForSignal()
{
    m_signals.async_wait([this](const asio::error_code &ec, int number) {
        if (ec) {
            return;
        }
        if (number == SIGHUP) {
            reload();
        } else {
            onTerminate();
        }
        waitForSignal();
    });
}

void Gateway::onTerminate()
{
    if (m_drainingSince) {
        return;
    }
    logEvent(LogLevel::Info, "stopping", {{"requests_in_flight", m_calls.size()}});
    m_feeds.stopRelay();
    m_limits.table().handOver(m_suspects.choosePeer(std::chrono::steady_clock::now()));
    m_drainingSince = std::chrono::steady_clock::now();
    for (const auto &it : m_callers.all()) {
        it->drain(false);
    }
}

void Gateway::setReload(std::function<SettingsParseResult<GatewaySettings>()> read)
{
    m_readSettings = std::move(read);
    m_settingsFile = m_readSettings().file;
    std::error_code ec;
    m_settingsTime = std::filesystem::last_write_time(m_settingsFile, ec);
}

/** Polls the modification time of the settings file, which may change without a SIGHUP. */
void Gateway::checkSettingsFile(TimePoint now)
{
    if (m_settingsFile.empty() || now < m_settingsCheckAt) {
        return;
    }
    m_settingsCheckAt = now + settingsCheckPeriod;
    std::error_code ec;
    const auto time = std::filesystem::last_write_time(m_settingsFile, ec);
    if (!ec && time != m_settingsTime) {
        m_settingsTime = time;
        reload();
    }
}

void Gateway::reload()
{
    if (!m_readSettings) {
        return;
    }
    auto parse = m_readSettings();
    if (!parse.errors.empty()) {
        logEvent(LogLevel::Error,
                 "invalid settings, keeping the current ones",
                 {{"setting", parse.errors.front().name}, {"expected", parse.errors.front().allowed}});
        return;
    }
    auto &next = parse.settings;
    if (next.listen != m_settings.listen || next.ready != m_settings.ready || next.domain != m_settings.domain
        || next.metrics != m_settings.metrics || next.peer != m_settings.peer) {
        logEvent(LogLevel::Warning, "changes of listening addresses and the failure domain need a restart");
    }
    m_settings.revokeBound = next.revokeBound;
    m_settings.grace = next.grace;
    m_settings.rotation = next.rotation;
    m_settings.maxConnections = next.maxConnections;
    m_regions = parseRegions(next.regions);
    m_suspects.setSeeds(next.seeds);
    m_settings.retryWindow = next.retryWindow;
    m_settings.retryPercent = next.retryPercent;
    m_settings.retryAllowance = next.retryAllowance;
    m_settings.retrySlack = next.retrySlack;
    if (next.store != m_settings.store) {
        m_settings.store = next.store;
        m_feeds.setAddress(next.store);
    }
    logEvent(LogLevel::Info, "settings reloaded", {{"store", m_settings.store}});
}

TimePoint Gateway::stopAt() const
{
    return *m_drainingSince + m_settings.grace - exitMargin;
}

void Gateway::advanceDrain(TimePoint now)
{
    const bool isOver = now >= stopAt();
    if (now - *m_drainingSince < m_settings.rotation && !isOver) {
        return;
    }
    if (isOver) {
        const std::vector<std::shared_ptr<GatewayCall>> calls(m_calls.begin(), m_calls.end());
        m_cutRequestCount += calls.size();
        for (const auto &it : calls) {
            it->stop(now);
        }
    }
    for (const auto &it : m_callers.all()) {
        it->drain(true);
    }
    if ((m_callers.all().empty() && m_calls.empty()) || now >= stopAt() + lastWriteTime) {
        logEvent(LogLevel::Info, "stopped", {{"requests_cut", m_cutRequestCount}});
        m_io.stop();
    }
}

} // namespace turmericline
