#include "entry_call.h"

#include "log.h"
#include "ticket.h"
#include "verdict.h"
#include "wire.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace turmericline {

namespace {

constexpr std::size_t maxAnswerBytes = 8U << 20U;
constexpr std::chrono::milliseconds minRetryAfter{100};

HttpHeaders headersForCaller(const HttpHeaders &headers)
{
    HttpHeaders kept;
    for (const auto &[name, value] : headers) {
        if (!name.starts_with("tl-") && name != "content-length") {
            kept.emplace_back(name, value);
        }
    }
    if (headerValue(headers, wire::replayed) == "1") {
        kept.emplace_back("Idempotent-Replayed", "true");
    }
    return kept;
}

/** Uniform in [0, 1); spreads retries of this entry and of callers so that they do not coincide. */
double randomJitter()
{
    static std::minstd_rand generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

std::optional<std::chrono::milliseconds> parseRetryAfter(const HttpHeaders &headers)
{
    const auto text = headerValue(headers, wire::retryAfterMs);
    std::uint32_t ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    return ec == std::errc() && !text.empty() ? std::optional(std::chrono::milliseconds(ms)) : std::nullopt;
}

} // namespace

EntryCall::EntryCall(EntryContext &context, CallerRequest request, std::shared_ptr<HttpResponder> responder)
    : m_context(context)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_started(Clock::now())
    , m_deadline(m_started + m_request.budget)
    , m_timer(context.io)
    , m_retryTimer(context.io)
{
}

void EntryCall::start()
{
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([self = shared_from_this()](asio::error_code ec) {
        if (!ec) {
            self->onDeadline();
        }
    });
    if (!m_request.isIdempotent && !m_request.key.empty()) {
        m_keyed.emplace(m_request.key, m_context.earliestArrival());
    }
    const auto tokens = static_cast<double>(m_request.expectedTokens());
    m_context.quota.admit(
        m_request.workspace, tokens, [self = shared_from_this()](std::optional<std::chrono::milliseconds> retryAfter) {
            if (self->m_isDone) {
                return;
            }
            if (retryAfter) {
                self->onRateLimited(*retryAfter);
            } else {
                self->onAdmitted();
            }
        });
}

void EntryCall::onAdmitted()
{
    m_isCharged = true;
    if (m_keyed) {
        perform(m_keyed->start());
    } else {
        attempt();
    }
}

void EntryCall::onRateLimited(std::chrono::milliseconds retryAfter)
{
    const Refusal refusal{429,
                          "rate_limited",
                          "the workspace has reached its limit",
                          Verdict::NotRun,
                          std::max(retryAfter, minRetryAfter)};
    if (m_keyed) {
        // An earlier copy of the call may have run, so only the owner of the key can confirm not-run.
        m_refusal = refusal;
        perform(m_keyed->refuse(refusal.message));
    } else {
        giveUp(refusal);
    }
}

void EntryCall::settleQuota(Verdict verdict)
{
    if (!m_isCharged) {
        return;
    }
    const auto estimated = static_cast<double>(m_request.expectedTokens());
    if (verdict == Verdict::NotRun) {
        m_context.quota.refund(m_request.workspace, estimated);
    } else if (m_request.isStream) {
        const auto unused = m_request.maxTokens > m_relay.nextOffset() ? m_request.maxTokens - m_relay.nextOffset() : 0;
        m_context.quota.correct(m_request.workspace, estimated, estimated - static_cast<double>(unused));
    }
}

RouteRequest EntryCall::routeRequest() const
{
    if (m_request.kind == ServiceKind::Plain) {
        return {};
    }
    constexpr double bytesPerToken = 4;
    return {m_request.prefixHash, static_cast<double>(m_request.body.size()) / bytesPerToken};
}

std::shared_ptr<AgentPeer> EntryCall::chooseServer()
{
    if (m_context.suspects.decide(m_request.fingerprint, m_request.parts).action != SuspectAction::Run) {
        return isolationPeer();
    }
    const auto server = m_context.selector.choose(Clock::now(), m_request.service, routeRequest(), m_tried);
    return server ? m_context.agents.find(*server) : nullptr;
}

std::chrono::milliseconds EntryCall::retryAfter() const
{
    if (m_retryAfter) {
        return *m_retryAfter;
    }
    return RetryPolicy().retryAfter(m_context.selector.load(m_request.service), randomJitter());
}

void EntryCall::attempt()
{
    if (isRefusedSuspect()) {
        refuseSuspect(m_mayHaveReachedServer ? Verdict::MayHaveRun
                                             : refusalVerdict(m_request.isIdempotent, !m_request.key.empty()));
    } else if (const auto peer = chooseServer()) {
        send(peer);
    } else {
        onNoServer();
    }
}

H2Request EntryCall::agentRequest() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - Clock::now());
    H2Request request;
    request.path = "/run";
    request.body = m_request.body;
    const auto add = [&request](std::string_view name, std::string value) {
        request.headers.emplace_back(name, std::move(value));
    };
    add(wire::request, m_request.id);
    add(wire::attempt, std::to_string(m_attempts));
    add(wire::workspace, m_request.workspace);
    add(wire::requestClass, std::string(nameOf(requestClassNames, m_request.requestClass)));
    add(wire::service, m_request.service);
    add(wire::method, m_request.method);
    add(wire::path, m_request.path);
    add(wire::fingerprint, m_request.fingerprint);
    if (!m_request.parts.empty()) {
        add(wire::parts, formatParts(m_request.parts));
    }
    add(wire::budgetMs, std::to_string(std::max<std::int64_t>(1, left.count())));
    add(wire::cost, std::to_string(m_request.expectedTokens()));
    if (const auto plan = m_context.document->plans.find(m_request.plan); plan.isValid()) {
        constexpr double weightUnit = 1'000;
        add(wire::weight, std::to_string(std::llround(m_context.document->plans[plan].weight * weightUnit)));
    }
    add(wire::idempotent, m_request.isIdempotent ? "1" : "0");
    if (m_ticket) {
        add(wire::key, formatTicket(*m_ticket));
    }
    if (!m_request.key.empty()) {
        add(wire::callerKey, m_request.key);
    }
    if (!m_request.contentType.empty()) {
        add(wire::contentType, m_request.contentType);
    }
    if (m_relay.nextOffset() > 0) {
        add(wire::resume, std::to_string(m_relay.nextOffset()));
    }
    if (auto reports = m_context.suspects.header(m_request.fingerprint, m_request.parts); !reports.empty()) {
        add(wire::suspect, std::move(reports));
    }
    return request;
}

void EntryCall::send(const std::shared_ptr<AgentPeer> &peer)
{
    ++m_attempts;
    m_tried.push_back(peer->name);
    m_peer = peer;
    ++peer->inFlight;
    m_context.selector.onStart(Clock::now(), peer->name, routeRequest());
    m_status = 0;
    m_headers.clear();
    m_body.clear();
    m_relay.beginAttempt();
    m_isAgentUnavailable = false;
    m_attemptStarted = Clock::now();
    m_attemptOffset = m_relay.nextOffset();
    const auto self = shared_from_this();
    m_context.events.ensureOpen(peer->client);
    m_stream = peer->client->start(agentRequest(),
                                   {[self](int status, const HttpHeaders &headers) {
                                        self->onHead(status, headers);
                                    },
                                    [self](std::string_view chunk) {
                                        self->onBody(chunk);
                                    },
                                    [self](const H2Result &result) {
                                        self->onDone(result);
                                    }});
}

void EntryCall::onHead(int status, const HttpHeaders &headers)
{
    m_peer->updateFromHeaders(headers, Clock::now());
    m_context.selector.onLoad(Clock::now(), m_peer->name, m_peer->reportedRunning + m_peer->reportedQueued);
    if (headerValue(headers, wire::refusing) == "1") {
        m_isAgentUnavailable = true;
        m_context.selector.onRefusing(Clock::now(), m_peer->name);
    }
    m_status = status;
    m_retryAfter = parseRetryAfter(headers);
    m_headers = headersForCaller(headers);
}

void EntryCall::onBody(std::string_view chunk)
{
    if (m_request.isStream && m_status == 200) {
        relayToCaller(chunk);
        return;
    }
    m_peer->client->consume(m_stream, chunk.size());
    if (m_body.size() + chunk.size() > maxAnswerBytes) {
        m_peer->client->cancel(m_stream);
        endAttempt();
        giveUp({502, "answer_too_large", "the answer is larger than this entry relays", Verdict::MayHaveRun, {}});
        return;
    }
    m_body.append(chunk);
}

void EntryCall::relayToCaller(std::string_view chunk)
{
    auto out = m_relay.feed(chunk);
    const auto release = [client = std::weak_ptr(m_peer), stream = m_stream, n = chunk.size()](bool) {
        if (const auto peer = client.lock()) {
            peer->client->consume(stream, n);
        }
    };
    if (out.empty()) {
        release(true);
    } else {
        const auto now = Clock::now();
        if (!m_firstToken) {
            m_firstToken = now - m_started;
        } else {
            m_context.metrics.recordTokenGap(m_request.workspace, m_request.requestClass, now - m_lastToken);
        }
        m_lastToken = now;
        if (!m_streamBegun) {
            m_streamBegun = true;
            m_responder->beginStream(
                200,
                {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", m_request.id}});
        }
        m_responder->write(std::move(out), release);
    }
    if (m_relay.state() == RelayState::Gap || m_relay.state() == RelayState::TooLong) {
        const auto peer = m_peer;
        peer->client->cancel(m_stream);
        m_context.selector.onFailure(Clock::now(), peer->name);
        endAttempt();
        onAttemptFailed(Verdict::MayHaveRun, "backend server sent a broken stream");
    }
}

void EntryCall::endAttempt()
{
    if (m_peer) {
        --m_peer->inFlight;
        m_context.selector.onEnd(m_peer->name);
        m_peer.reset();
        m_stream = 0;
    }
}

void EntryCall::onDone(const H2Result &result)
{
    const auto peer = m_peer;
    endAttempt();
    auto verdict = Verdict::MayHaveRun;
    std::string reason = result.error;
    if (result.complete) {
        verdict = parseVerdict(headerValue(result.trailers, wire::verdict));
        reason = headerValue(result.trailers, wire::reason);
        reportOutcome(*peer, verdict);
        m_context.suspects.mergeHeader(headerValue(result.trailers, wire::suspect));
    } else {
        m_isAgentUnavailable = true;
        m_context.selector.onFailure(Clock::now(), peer->name);
        verdict = result.sent ? Verdict::MayHaveRun : Verdict::NotRun;
    }
    if (m_keyed) {
        onKeyedDone(result, verdict, reason);
        return;
    }
    if (verdict != Verdict::NotRun) {
        m_mayHaveReachedServer = true;
    }
    // Once a stream has begun, an answer with an error status is no end of it.
    const bool hasEvents = m_request.isStream && (m_status == 200 || m_streamBegun);
    const bool isAnswerComplete = !hasEvents || (m_status == 200 && m_relay.state() == RelayState::Finished);
    if (verdict == Verdict::Run && isAnswerComplete) {
        answer();
    } else {
        onAttemptFailed(verdict == Verdict::Run ? Verdict::MayHaveRun : verdict,
                        reason.empty() ? "backend server ended the answer early" : reason);
    }
}

void EntryCall::reportOutcome(const AgentPeer &peer, Verdict verdict)
{
    if (verdict == Verdict::MayHaveRun) {
        // The agent is reachable, but its backend server failed during the call.
        m_context.selector.onFailure(Clock::now(), peer.name);
        return;
    }
    if (verdict == Verdict::NotRun) {
        return; // A busy or leaving server is not faulty.
    }
    const auto elapsed = std::chrono::duration<double>(Clock::now() - m_attemptStarted);
    const auto tokens = m_relay.nextOffset() - m_attemptOffset;
    const auto incarnation = peer.reportedAge ? peer.reportedAge->incarnation : 0;
    m_context.selector.onSuccess(
        Clock::now(), peer.name, incarnation, tokens > 1 ? elapsed / static_cast<double>(tokens) : elapsed);
}

void EntryCall::onAttemptFailed(Verdict verdict, const std::string &reason)
{
    if (m_isDone) {
        return;
    }
    logEvent(LogLevel::Info,
             "attempt failed",
             {{"request", m_request.id},
              {"attempt", m_attempts},
              {"server", m_tried.empty() ? "" : m_tried.back()},
              {"verdict", verdictName(verdict)},
              {"reason", reason}});
    const auto overall = m_mayHaveReachedServer ? Verdict::MayHaveRun : verdict;
    if (isSuspectRefusal(verdict)) {
        refuseSuspect(overall);
        return;
    }
    AttemptResult result;
    result.verdict = verdict;
    result.isIdempotent = m_request.isIdempotent;
    result.hasLoadedServer = !m_isAgentUnavailable;
    result.attempts = m_attempts;
    result.deadline = m_deadline;
    auto &budget = m_streamBegun ? m_context.resumptions : m_context.retries;
    const auto decision = RetryPolicy().decide(Clock::now(), result, budget, randomJitter());
    if (decision.isRetry()) {
        retryAfterDelay(decision.delay);
        return;
    }
    giveUp(unavailable(reason, overall));
}

void EntryCall::retryAfterDelay(std::chrono::milliseconds delay)
{
    m_retryTimer.expires_after(delay);
    m_retryTimer.async_wait([self = shared_from_this()](asio::error_code ec) {
        if (!ec && !self->m_isDone) {
            self->attempt();
        }
    });
}

void EntryCall::onNoServer()
{
    const auto verdict
        = m_mayHaveReachedServer ? Verdict::MayHaveRun : refusalVerdict(m_request.isIdempotent, !m_request.key.empty());
    giveUp(unavailable("no backend server of the service can take the request now", verdict));
}

void EntryCall::onDeadline()
{
    if (m_isDone) {
        return;
    }
    if (m_peer) {
        m_peer->client->cancel(m_stream);
        m_mayHaveReachedServer = true;
        endAttempt();
    }
    const auto verdict
        = m_mayHaveReachedServer ? Verdict::MayHaveRun : refusalVerdict(m_request.isIdempotent, !m_request.key.empty());
    giveUp({504, "deadline_exceeded", "the deadline passed before the answer was complete", verdict, retryAfter()});
}

void EntryCall::onCallerDisconnect()
{
    if (m_isDone) {
        return;
    }
    // A non-idempotent call continues without its caller, so that a resent copy gets the answer.
    if (m_peer && m_request.isIdempotent) {
        m_peer->client->cancel(m_stream);
        endAttempt();
        close(Verdict::MayHaveRun, 499, "caller closed the connection");
    }
}

void EntryCall::answer()
{
    m_context.suspects.complete(m_request.fingerprint, provenParts(m_status, m_request.parts));
    if (m_request.isStream && m_status == 200) {
        finishStream(true, Verdict::Run, {});
        return;
    }
    if (m_streamBegun) {
        finishStream(false, Verdict::MayHaveRun, "the stream was not resumed");
        return;
    }
    auto headers = m_headers;
    headers.emplace_back("X-Verdict", std::string(verdictName(Verdict::Run)));
    headers.emplace_back("X-Request-Id", m_request.id);
    m_responder->reply(m_status, std::move(headers), std::move(m_body));
    close(Verdict::Run, m_status, {});
}

void EntryCall::finishStream(bool complete, Verdict verdict, const std::string &reason)
{
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_responder->beginStream(200, {{"Content-Type", "text/event-stream"}, {"X-Request-Id", m_request.id}});
    }
    nlohmann::json data{{"verdict", verdictName(verdict)}, {"complete", complete}};
    if (!reason.empty()) {
        data["reason"] = reason;
    }
    std::string out = complete ? "data: [DONE]\n\n" : "";
    out += "event: verdict\ndata: " + data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
    m_responder->write(std::move(out), {});
    m_responder->endStream();
    close(verdict, 200, reason);
}

/** Callers may take 503 for a promise that the request has not run. */
Refusal EntryCall::unavailable(const std::string &reason, Verdict verdict) const
{
    return {verdict == Verdict::NotRun ? 503 : 502, "unavailable", reason, verdict, retryAfter()};
}

void EntryCall::giveUp(const Refusal &refusal)
{
    if (m_isDone) {
        return;
    }
    if (m_streamBegun) {
        finishStream(false, refusal.verdict, refusal.message);
        return;
    }
    sendRefusal(*m_responder, refusal);
    close(refusal.verdict, refusal.status, refusal.message);
}

void EntryCall::close(Verdict verdict, int status, const std::string &reason)
{
    m_isDone = true;
    m_timer.cancel();
    m_retryTimer.cancel();
    if (verdict == Verdict::Run) {
        m_context.retries.onSuccess();
        m_context.resumptions.onSuccess();
    }
    settleQuota(verdict);
    const auto total = Clock::now() - m_started;
    m_context.metrics.recordRequest(
        {m_request.workspace, m_request.requestClass, verdict, status, total, m_firstToken});
    logEvent(LogLevel::Info,
             "request done",
             {{"request", m_request.id},
              {"workspace", m_request.workspace},
              {"class", nameOf(requestClassNames, m_request.requestClass)},
              {"service", m_request.service},
              {"verdict", verdictName(verdict)},
              {"status", status},
              {"attempts", m_attempts},
              {"server", m_tried.empty() ? "" : m_tried.back()},
              {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(total).count()},
              {"reason", reason}});
    m_context.onDone(*this);
}

} // namespace turmericline
