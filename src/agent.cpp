#include "agent.h"

#include "agent_pool.h"
#include "log.h"
#include "quota.h"
#include "ticket.h"
#include "verdict.h"
#include "wire.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::milliseconds busyRetryAfter{200};
/** Unread bytes above which the stream of a slow reader is ended, to bound the agent's memory. */
constexpr std::size_t maxUnreadBytes = 4U << 20U;
constexpr std::size_t maxKeptAnswerBytes = 256U << 10U;

/** Entries send new documents to agents; an agent reads the configuration service only if no entry contacts it. */
WatchSettings agentWatchSettings()
{
    WatchSettings settings;
    settings.watchersPerDomain = 0;
    settings.confirmationTimeout = std::chrono::seconds(30);
    return settings;
}

/** Returns true for headers of a backend server's answer that are forwarded to the caller. */
bool isForwarded(std::string_view name)
{
    return name == "content-type" || name == "retry-after" || name == "location";
}

HttpHeaders forwardedHeaders(const HttpHeaders &headers)
{
    HttpHeaders kept;
    for (const auto &[name, value] : headers) {
        std::string lower(name);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        if (isForwarded(lower)) {
            kept.emplace_back(std::move(lower), value);
        }
    }
    return kept;
}

} // namespace

Agent::Agent(asio::io_context &io, AgentSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_exclusive("turmericline-agent-" + m_settings.server)
    , m_started(std::chrono::steady_clock::now())
    , m_incarnation(makeIncarnation())
    , m_ownership(m_settings.server)
    , m_tls(readPeerKeys(m_settings.peerKeys))
    , m_http(io)
    , m_document(std::make_shared<const Document>())
    , m_sync(io,
             m_tls,
             {m_settings.server,
              m_settings.domain,
              false,
              m_settings.peers,
              std::chrono::seconds(1),
              agentWatchSettings()},
             [this](const std::shared_ptr<const Document> &document) {
                 applyDocument(document);
             })
    , m_queue(FairQueueConfig{.maxLength = static_cast<std::uint32_t>(m_settings.queueLength)})
    , m_suspects(m_settings.suspectHold)
    , m_suspectReportServer(m_suspects)
    , m_isolation(io,
                  m_settings,
                  m_incarnation,
                  m_suspects,
                  {[this](const Call &call) {
                       startBackend(call);
                   },
                   [this](const Call &call, const std::string &reason) {
                       finish(call, Verdict::NotRun, reason);
                   },
                   [this](const Call &call, const std::string &reason) {
                       finish(call, Verdict::MayHaveRun, reason);
                   },
                   [this] {
                       dispatch();
                   }})
    , m_peerServer(io,
                   m_tls,
                   m_settings.address,
                   m_settings.port,
                   [this](const std::shared_ptr<H2ServerStream> &stream) {
                       handle(stream);
                   })
    , m_ops(io,
            m_settings.address,
            m_settings.opsPort,
            {[this] {
                 return refusalReason().empty();
             },
             [this] {
                 return m_metrics.text();
             },
             [this] {
                 return status();
             }})
    , m_drain(io,
              {m_settings.drainNotice, m_settings.drainDeadline},
              {[] {},
               [this] {
                   m_suspectReportServer.close();
                   m_peerServer.stopListening();
                   m_peerServer.drain();
               },
               [this] {
                   return m_calls.empty() && m_peerServer.openStreamCount() == 0;
               },
               [this] {
                   m_io.stop();
               }})
    , m_platform(io,
                 m_http,
                 {m_settings.configUrl, m_settings.instancesUrl},
                 m_sync.platformHandlers([this](const std::vector<InstanceInfo> &instances) {
                     m_listedAsLeaving = std::ranges::any_of(instances, [this](const InstanceInfo &it) {
                         return it.name == m_settings.server && it.isLeaving;
                     });
                 }))
    , m_tickTimer(io)
{
    m_sync.setSuspects(m_suspects);
    // Pushes only what this agent has observed itself; entries get the reports of other processes by gossip.
    m_suspects.setNewReportsHandler([this](const SuspectSync::Reports &newReports, SuspectSync::Origin origin) {
        if (origin == SuspectSync::Origin::Own) {
            m_suspectReportServer.push(newReports);
        }
    });
    m_suspects.setNewPartsHandler([this](const std::vector<PartReport> &news, SuspectSync::Origin origin) {
        if (origin == SuspectSync::Origin::Own) {
            m_suspectReportServer.push(news);
        }
    });
    m_sync.start();
    m_platform.start();
    tick();
    logEvent(LogLevel::Info,
             "agent started",
             {{"server", m_settings.server}, {"port", m_peerServer.port()}, {"ops_port", m_ops.port()}});
}

Agent::~Agent() = default;

Age Agent::age() const
{
    return std::chrono::duration_cast<Age>(std::chrono::steady_clock::now() - m_started);
}

std::uint32_t Agent::slots() const
{
    const auto id = m_document->servers.find(m_settings.server);
    return id.isValid() ? m_document->servers[id].slots : BackendServer{}.slots;
}

std::string Agent::refusalReason() const
{
    if (m_drain.phase() != DrainPhase::Serving) {
        return "agent is draining";
    }
    const auto id = m_document->servers.find(m_settings.server);
    if (!id.isValid()) {
        return "backend server is not in the configuration document";
    }
    if (m_listedAsLeaving || m_document->servers[id].state != ServerState::Active) {
        return "backend server is not active";
    }
    return {};
}

HttpHeaders Agent::standardHeaders() const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(age()).count();
    return {{std::string(wire::incarnation), formatAgentAge({m_incarnation, static_cast<std::uint64_t>(seconds)})},
            {std::string(wire::load), std::to_string(m_queue.running()) + "." + std::to_string(m_queue.waiting())}};
}

void Agent::handle(const std::shared_ptr<H2ServerStream> &stream)
{
    const auto &path = stream->request().path;
    if (path == "/run") {
        handleRun(stream);
    } else if (path == "/seal") {
        handleSeal(*stream);
    } else if (path == "/bind") {
        handleBind(*stream);
    } else if (path == "/events") {
        m_suspectReportServer.add(stream);
    } else if (path == "/hello") {
        handleHello(*stream);
    } else if (!m_sync.handle(*stream)) {
        refuse(*stream, 404, Verdict::NotRun, "unknown path");
    }
}

void Agent::refuse(H2ServerStream &stream,
                   int status,
                   Verdict verdict,
                   const std::string &reason,
                   std::chrono::milliseconds retryAfter,
                   std::string suspects)
{
    auto headers = standardHeaders();
    if (verdict == Verdict::NotRun) {
        if (!refusalReason().empty()) {
            headers.emplace_back(wire::refusing, "1");
        }
        headers.emplace_back(wire::retryAfterMs, std::to_string(std::max(retryAfter, busyRetryAfter).count()));
    }
    HttpHeaders trailers{{std::string(wire::verdict), std::string(verdictName(verdict))},
                         {std::string(wire::reason), reason}};
    if (!suspects.empty()) {
        trailers.emplace_back(wire::suspect, std::move(suspects));
    }
    stream.reply(status, headers, {}, std::move(trailers));
}

void Agent::handleRun(const std::shared_ptr<H2ServerStream> &stream)
{
    auto parsed = parseAgentCall(*stream, AgentCall::Clock::now());
    if (!parsed) {
        // An earlier copy of a keyed call may have been valid, and may have run.
        const auto verdict = stream->header(wire::key).empty() ? Verdict::NotRun : Verdict::MayHaveRun;
        refuse(*stream, 400, verdict, parsed.reason);
        return;
    }
    auto call = std::make_shared<AgentCall>(std::move(*parsed.value));
    call->stream = stream;
    m_suspects.mergeHeader(stream->header(wire::suspect));
    stream->onCancel = [this, weak = std::weak_ptr(call)] {
        if (const auto locked = weak.lock()) {
            onEntryDisconnected(locked);
        }
    };
    if (call->ticket) {
        if (admitKeyed(call)) {
            enqueue(call);
        }
        return;
    }
    if (const auto reason = refusalReason(); !reason.empty()) {
        refuse(*stream, 503, Verdict::NotRun, reason);
        return;
    }
    enqueue(call);
}

void Agent::enqueue(const Call &call)
{
    call->id = ++m_lastId;
    m_calls.emplace(call->id, call);
    std::vector<QueuedCall> shed;
    const auto decision = m_queue.offer(
        AgentCall::Clock::now(),
        {call->id, workspaceKey(call->workspace), call->requestClass, call->cost, call->weight, call->deadline},
        shed);
    if (decision.verdict != QueueVerdict::Queued) {
        call->retryAfter = decision.retryAfter;
        finish(
            call, Verdict::NotRun, decision.verdict == QueueVerdict::Full ? "queue is full" : "deadline is too near");
    }
    finishNotRun(shed, "shed for a call of a higher class");
    dispatch();
}

void Agent::finishNotRun(const std::vector<QueuedCall> &calls, const std::string &reason)
{
    for (const auto &it : calls) {
        if (const auto found = m_calls.find(it.id); found != m_calls.end()) {
            finish(Call(found->second), Verdict::NotRun, reason);
        }
    }
}

void Agent::dispatch()
{
    m_isolation.startHeldCalls();
    std::vector<QueuedCall> late;
    while (const auto next = m_queue.start(AgentCall::Clock::now(), late)) {
        m_isolation.admit(Call(m_calls.at(next->id)));
    }
    finishNotRun(late, "deadline passed in the queue");
}

void Agent::startBackend(const Call &call)
{
    call->isRunning = true;
    call->startedAt = AgentCall::Clock::now();
    call->lastDataAt = call->startedAt;
    m_suspects.recordSent(call->parts);
    std::string body;
    std::string contentType;
    if (call->stream) {
        body = call->stream->request().body;
        contentType = call->stream->header(wire::contentType);
    }
    call->backendRequest
        = m_http.start(backendRequest(*call, m_settings.backendUrl, std::move(body), std::move(contentType)),
                       {[this, call](int status, const HttpHeaders &headers) {
                            onBackendHead(call, status, headers);
                        },
                        [this, call](std::string_view chunk) {
                            onBackendBody(call, chunk);
                        },
                        [this, call](const HttpClientResult &result) {
                            onBackendDone(call, result);
                        }});
}

void Agent::onBackendHead(const Call &call, int status, const HttpHeaders &headers)
{
    call->lastDataAt = AgentCall::Clock::now();
    m_isolation.onAlive(call);
    call->status = status;
    auto kept = forwardedHeaders(headers);
    if (call->ticket) {
        call->answer.status = status;
        call->answer.headers = kept;
    }
    if (call->stream) {
        auto all = standardHeaders();
        std::move(kept.begin(), kept.end(), std::back_inserter(all));
        call->stream->respond(status, all);
    }
    call->headSent = true;
}

void Agent::onBackendBody(const Call &call, std::string_view chunk)
{
    call->lastDataAt = AgentCall::Clock::now();
    call->firstDataAt = call->firstDataAt.value_or(call->lastDataAt);
    if (call->ticket && call->answer.body.size() <= maxKeptAnswerBytes) {
        call->answer.body.append(chunk);
    }
    if (!call->stream) {
        return;
    }
    if (call->stream->pendingBytes() > maxUnreadBytes) {
        call->stream->end(
            {{std::string(wire::verdict), "may-have-run"}, {std::string(wire::reason), "reader is too slow"}});
        onEntryDisconnected(call);
        return;
    }
    call->stream->write(std::string(chunk));
}

void Agent::onBackendDone(const Call &call, const HttpClientResult &result)
{
    if (result.complete) {
        m_suspects.complete(call->fingerprint, provenParts(call->status, call->parts));
        finish(call, Verdict::Run, {});
    } else if (!result.sent) {
        m_isolation.onUnreachable();
        finish(call, Verdict::NotRun, "backend server refused the connection");
    } else {
        m_isolation.onConnectionBroken(call, "backend server: " + result.error);
    }
}

void Agent::onEntryDisconnected(const Call &call)
{
    call->stream.reset();
    if (call->ticket && call->isRunning) {
        return; // A keyed call continues, so that a resent copy gets its answer.
    }
    if (call->ticket && !call->waiters.empty()) {
        call->stream = call->waiters.front();
        call->waiters.erase(call->waiters.begin());
        return;
    }
    if (call->isRunning) {
        m_http.cancel(call->backendRequest);
        m_isolation.abandon(call);
        finish(call, Verdict::MayHaveRun, "cancelled");
    } else {
        finish(call, Verdict::NotRun, "cancelled");
    }
}

void Agent::finish(const Call &call, Verdict verdict, const std::string &reason)
{
    if (m_calls.erase(call->id) == 0) {
        return;
    }
    const bool hasSlot = call->isRunning || call->isHeld;
    m_isolation.end(call);
    if (hasSlot) {
        m_queue.finish(AgentCall::Clock::now(), call->id);
    } else {
        m_queue.cancel(call->id);
    }
    if (call->ticket) {
        m_keyedCalls.erase(*call->ticket);
        if (verdict == Verdict::Run) {
            m_ledger->finish(*call->ticket, call->answer, age());
        } else {
            m_ledger->fail(*call->ticket, verdict, age());
        }
    }
    if (call->stream && call->headSent) {
        HttpHeaders trailers{{std::string(wire::verdict), std::string(verdictName(verdict))},
                             {std::string(wire::reason), reason}};
        if (auto reports = m_suspects.header(call->fingerprint, call->parts); !reports.empty()) {
            trailers.emplace_back(wire::suspect, std::move(reports));
        }
        call->stream->end(std::move(trailers));
    } else if (call->stream) {
        refuse(*call->stream,
               call->refusalStatus,
               verdict,
               reason,
               call->retryAfter,
               m_suspects.header(call->fingerprint, call->parts));
    }
    answerWaiters(call, verdict, reason);
    dispatch();
}

void Agent::handleHello(H2ServerStream &stream)
{
    stream.reply(200, standardHeaders(), status().dump());
}

void Agent::applyDocument(const std::shared_ptr<const Document> &document)
{
    m_document = document;
    createLedger();
    m_queue.setSlots(slots());
    m_ownership.update(*m_document, age());
    m_metrics.setDocument(*m_document);
    dispatch();
}

void Agent::tick()
{
    if (m_ledger) {
        m_ledger->expire(age());
        m_binder->expire(age());
    }
    m_isolation.tick();
    dispatch();
    const auto now = AgentCall::Clock::now();
    const auto calls = m_calls;
    for (const auto &[id, it] : calls) {
        if (it->isRunning && now - it->lastDataAt > m_settings.backendSilence) {
            m_http.cancel(it->backendRequest);
            m_isolation.abandon(it);
            finish(it, Verdict::MayHaveRun, "backend server is silent");
        }
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

nlohmann::json Agent::status() const
{
    return {{"server", m_settings.server},
            {"domain", m_settings.domain},
            {"version", m_document->version},
            {"configuration", m_sync.status()},
            {"age_s", std::chrono::duration_cast<std::chrono::seconds>(age()).count()},
            {"running", m_queue.running()},
            {"queued", m_queue.waiting()},
            {"slots", slots()},
            {"ledger_entries", m_ledger ? m_ledger->size() : 0},
            {"bound_keys", m_binder ? m_binder->size() : 0},
            {"suspects", m_suspects.status()},
            {"suspect_streams", m_suspectReportServer.size()},
            {"held_for_suspects", m_isolation.heldCount()},
            {"refuses", refusalReason()}};
}

} // namespace turmericline
