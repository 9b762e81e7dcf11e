#include "entry.h"

#include "caller_tls.h"
#include "log.h"

#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::seconds healthInterval{1};
/** Streams that may be resumed at once: about the number that an entry loses with one failure domain at target size. */
constexpr double resumptionBurst = 16;

bool isLeaving(HealthState state)
{
    return state == HealthState::Leaving;
}

HttpServerConfig callerServerConfig(const EntrySettings &settings)
{
    HttpServerConfig config;
    config.address = settings.address;
    config.port = settings.port;
    config.maxBodyBytes = settings.maxBodyBytes;
    config.maxConnections = settings.maxConnections;
    config.readTimeout = settings.readTimeout;
    config.readsAhead = true;
    if (!settings.tlsCertificate.empty()) {
        config.tls = makeCallerTls(settings.tlsCertificate, settings.tlsKey).context;
    }
    return config;
}

} // namespace

Entry::Entry(asio::io_context &io, EntrySettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_tls(readPeerKeys(m_settings.peerKeys))
    , m_http(io)
    , m_document(std::make_shared<const Document>())
    , m_agents(io, m_tls, m_settings.domain)
    , m_sync(io,
             m_tls,
             {m_settings.name, m_settings.domain, true, m_settings.peers, std::chrono::seconds(1), {}},
             [this](const std::shared_ptr<const Document> &document) {
                 applyDocument(document);
             })
    , m_quota(io, m_tls, m_settings.name, m_settings.domain)
    , m_selector(m_settings.domain)
    , m_resumptions({.budgetBurst = resumptionBurst, .budgetInitial = resumptionBurst})
    , m_tickets(m_agents, m_selector)
    , m_suspects(m_settings.suspectHold)
    , m_suspectSubscriber(io, m_suspects)
    , m_context{io,
                m_settings,
                m_document,
                m_agents,
                m_selector,
                m_retries,
                m_resumptions,
                m_metrics,
                m_quota,
                [this] {
                    return m_previousTick;
                },
                [this](const EntryCall &call) {
                    m_calls.erase(&call);
                },
                m_suspects,
                m_suspectSubscriber}
    , m_peerServer(io,
                   m_tls,
                   m_settings.address,
                   m_settings.peerPort,
                   [this](const std::shared_ptr<H2ServerStream> &stream) {
                       handlePeer(*stream);
                   })
    , m_ops(io,
            m_settings.address,
            m_settings.opsPort,
            {[this] {
                 return isReady();
             },
             [this] {
                 return m_metrics.text();
             },
             [this] {
                 return status();
             }})
    , m_callerServer(
          io,
          callerServerConfig(m_settings),
          [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
              handle(request, responder);
          },
          [this](std::uint64_t connection) {
              onConnectionClosed(connection);
          })
    , m_drain(io,
              {m_settings.drainNotice, m_settings.drainDeadline},
              {[] {},
               [this] {
                   m_callerServer.stopListening();
               },
               [this] {
                   return m_calls.empty() && m_callerServer.unwrittenCount() == 0;
               },
               [this] {
                   m_io.stop();
               }})
    , m_platform(io,
                 m_http,
                 {m_settings.configUrl, m_settings.instancesUrl},
                 m_sync.platformHandlers([this](const std::vector<InstanceInfo> &instances) {
                     m_selector.setInstances(std::chrono::steady_clock::now(), instances);
                     m_quota.setInstances(instances);
                 }))
    , m_tickTimer(io)
    , m_lastTick(std::chrono::steady_clock::now())
    , m_previousTick(m_lastTick)
{
    m_sync.setAgentSource([this](bool isGossipRound) {
        return m_agents.clients(isGossipRound);
    });
    m_sync.setSuspects(m_suspects);
    m_sync.start();
    m_quota.start();
    m_platform.start();
    tick();
    logEvent(LogLevel::Info,
             "entry started",
             {{"port", port()}, {"ops_port", opsPort()}, {"peer_port", peerPort()}, {"domain", m_settings.domain}});
}

Entry::~Entry() = default;

bool Entry::isReady() const
{
    return m_document->version != 0 && m_drain.phase() == DrainPhase::Serving;
}

void Entry::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (const auto refusal = checkLimits(m_settings, request)) {
        sendRefusal(*responder, *refusal);
        return;
    }
    if (m_document->version == 0) {
        sendRefusal(*responder,
                    {503,
                     "not_ready",
                     "no configuration document has been received yet",
                     refusalVerdict(false, !request.header("Idempotency-Key").empty()),
                     std::chrono::seconds(1)});
        return;
    }
    if (request.path == "/v1/models") {
        handleModels(request, *responder);
        return;
    }
    if (request.path == "/v1/tickets") {
        handleTicket(request, responder);
        return;
    }
    auto read = readCallerRequest(*m_document, m_settings, request);
    if (const auto *refusal = std::get_if<Refusal>(&read)) {
        sendRefusal(*responder, *refusal);
        return;
    }
    startCall(std::move(std::get<CallerRequest>(read)), request.connection, responder);
}

void Entry::startCall(CallerRequest request, std::uint64_t connection, const std::shared_ptr<HttpResponder> &responder)
{
    if (m_calls.size() >= m_settings.maxCalls) {
        sendRefusal(*responder,
                    {503,
                     "overloaded",
                     "this entry has too many requests in flight",
                     refusalVerdict(request.isIdempotent, !request.key.empty()),
                     std::chrono::seconds(1)});
        return;
    }
    if (m_drain.isOverBefore(std::chrono::steady_clock::now() + request.budget)) {
        // It could be cut at the time limit of the shutdown.
        sendRefusal(*responder,
                    {503,
                     "stopping",
                     "this entry is stopping",
                     refusalVerdict(request.isIdempotent, !request.key.empty()),
                     std::chrono::seconds(1)});
        return;
    }
    auto call = std::make_shared<EntryCall>(m_context, std::move(request), responder);
    m_calls.emplace(call.get(), call);
    m_callByConnection[connection] = call;
    call->start();
}

void Entry::onConnectionClosed(std::uint64_t connection)
{
    const auto it = m_callByConnection.find(connection);
    if (it == m_callByConnection.end()) {
        return;
    }
    const auto call = it->second.lock();
    m_callByConnection.erase(it);
    if (call) {
        call->onCallerDisconnect();
    }
}

void Entry::handleModels(const HttpRequest &request, HttpResponder &responder) const
{
    const auto workspace = authenticate(*m_document, request);
    if (const auto *refusal = std::get_if<Refusal>(&workspace)) {
        sendRefusal(responder, *refusal);
        return;
    }
    if (request.method != "GET") {
        sendRefusal(responder, methodNotAllowed("GET"));
        return;
    }
    auto data = nlohmann::json::array();
    const auto &plan = m_document->plans[m_document->workspaces[std::get<Id<Workspace>>(workspace)].plan];
    for (const auto id : plan.services) {
        if (m_document->services[id].kind == ServiceKind::Model) {
            data.push_back({{"id", m_document->services[id].model}, {"object", "model"}, {"owned_by", "turmericline"}});
        }
    }
    responder.reply(200,
                    {{"Content-Type", "application/json"}, {"X-Verdict", "run"}},
                    nlohmann::json{{"object", "list"}, {"data", data}}.dump());
}

void Entry::handleTicket(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const auto workspace = authenticate(*m_document, request);
    if (const auto *refusal = std::get_if<Refusal>(&workspace)) {
        sendRefusal(*responder, *refusal);
        return;
    }
    const auto service = readTicketRequest(*m_document, std::get<Id<Workspace>>(workspace), request);
    if (const auto *refusal = std::get_if<Refusal>(&service)) {
        sendRefusal(*responder, *refusal);
        return;
    }
    m_tickets.issue(m_document->services[std::get<Id<Service>>(service)].name, m_document->keyLifetime, responder);
}

void Entry::tick()
{
    // The last two ticks are kept: when the process was suspended, the latest one may be later than the arrival of a
    // request that waited in the socket buffer.
    m_previousTick = m_lastTick;
    m_lastTick = std::chrono::steady_clock::now();
    if (m_lastTick - m_lastHealthTick >= healthInterval) {
        m_lastHealthTick = m_lastTick;
        m_selector.tick(m_lastTick);
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void Entry::handlePeer(H2ServerStream &stream)
{
    if (!m_sync.handle(stream) && !m_quota.handle(stream)) {
        stream.reply(404, {}, {});
    }
}

void Entry::applyDocument(const std::shared_ptr<const Document> &document)
{
    m_document = document;
    m_documentAppliedAt = std::chrono::steady_clock::now();
    m_agents.setDocument(*m_document);
    m_selector.setDocument(std::chrono::steady_clock::now(), *m_document);
    m_metrics.setDocument(*m_document);
    m_quota.setDocument(m_document);
}

nlohmann::json Entry::serverStatus() const
{
    auto rows = nlohmann::json::array();
    const auto now = std::chrono::steady_clock::now();
    for (const auto &it : m_document->servers) {
        if (const auto peer = m_agents.find(it.name)) {
            const auto health = m_selector.state(now, it.name);
            rows.push_back({{"server", it.name},
                            {"service", m_document->services[it.service].name},
                            {"domain", it.domain},
                            {"state", isLeaving(health) ? "leaving" : nameOf(serverStateNames, it.state)},
                            {"health", nameOf(healthStateNames, health)},
                            {"connected", peer->client->isConnected()},
                            {"in_flight", peer->inFlight},
                            {"running", peer->reportedRunning},
                            {"queued", peer->reportedQueued}});
        }
    }
    return rows;
}

nlohmann::json Entry::status() const
{
    const auto age = std::chrono::steady_clock::now() - m_documentAppliedAt;
    return {{"name", m_settings.name},
            {"domain", m_settings.domain},
            {"ready", isReady()},
            {"version", m_document->version},
            {"version_age_s", std::chrono::duration_cast<std::chrono::seconds>(age).count()},
            {"calls", m_calls.size()},
            {"connections", m_callerServer.connectionCount()},
            {"configuration", m_sync.status()},
            {"limits", m_quota.status()},
            {"suspects", m_suspects.status()},
            {"suspect_streams", m_suspectSubscriber.size()},
            {"platform_calls", m_platform.callCount()},
            {"servers", serverStatus()}};
}

} // namespace turmericline
