#include "gateway_suspects.h"

#include "address.h"
#include "log.h"
#include "part_suspect_codec.h"
#include "suspect_codec.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds callTimeout{500};
/** The steady clock stands still while the machine is suspended, so the gossip cannot see the time that passed. */
constexpr std::chrono::milliseconds minSuspension{500};
constexpr std::chrono::seconds expiryPeriod{10};
/** In a large fleet, several rounds of gossip pass until a gateway is heard of again. */
constexpr std::chrono::seconds nearPeerAge{20};
/** In a fleet of thousands, this is more than it takes until all gateways know a report. */
constexpr unsigned maxReportSends = 32;
/** Servers that end for one cause, such as a failed domain, are noticed within this time. */
constexpr std::chrono::seconds commonCauseTime{1};
/** Bounds the messages about one server if thousands of callers have left. */
constexpr std::size_t maxRequestsPerEnd = 256;
constexpr std::size_t maxLoggedRequestsPerEnd = 32;
constexpr std::size_t maxMessageBytes = 64U << 10U;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
const std::string messagePackType = "application/msgpack";

SuspectSettings suspectSettings(std::chrono::milliseconds hold, std::uint64_t seed)
{
    SuspectSettings settings;
    settings.survivedSeed = seed;
    settings.hold = hold;
    // Gateways are often cut off from all servers of a failure domain, which is no evidence against a request.
    settings.domainLimit = settings.totalLimit;
    settings.maxSends = maxReportSends;
    settings.commonCauseTime = commonCauseTime;
    return settings;
}

PartSuspectSettings partSettings(std::chrono::milliseconds hold)
{
    PartSuspectSettings settings;
    settings.maxHold = hold;
    settings.minHold = std::min(settings.minHold, hold);
    return settings;
}

/** Fingerprints of the parts, split into those that are refused and others. */
std::pair<nlohmann::json, nlohmann::json>
describeCandidates(TimePoint now, const std::vector<PartInFlight> &candidates, const PartSuspects &parts)
{
    auto refused = nlohmann::json::array();
    auto others = nlohmann::json::array();
    for (const auto &it : candidates) {
        const bool isRefused = parts.decide(std::span(&it.part, 1), suspectTime(now)).action == SuspectAction::Refuse;
        (isRefused ? refused : others).push_back(formatFingerprint(it.part));
    }
    return {std::move(refused), std::move(others)};
}

/** The requests of an end that are reported. If there are too many, abandoned ones that ended no server before give way. */
std::vector<Fingerprint> selectRequests(const ServerEnd &end, const SuspectTable &table)
{
    auto requests = end.requests;
    const auto abandoned = requests.end() - static_cast<std::ptrdiff_t>(end.abandonedRequests);
    std::stable_partition(abandoned, requests.end(), [&table](const Fingerprint &it) {
        return table.isKnown(it);
    });
    requests.resize(std::min(requests.size(), maxRequestsPerEnd));
    return requests;
}

} // namespace

GatewaySuspects::GatewaySuspects(asio::io_context &io,
                                 const GatewaySuspectSettings &settings,
                                 const BackendTable &servers,
                                 ServerLimits &limits,
                                 std::mt19937_64 &random)
    : m_io(io)
    , m_servers(servers)
    , m_table(suspectSettings(settings.hold, random()))
    , m_parts(partSettings(settings.hold), random())
    , m_caller(io)
{
    if (!settings.listen.empty()) {
        listen(settings, limits, random);
    }
}

void GatewaySuspects::listen(const GatewaySuspectSettings &settings, ServerLimits &limits, std::mt19937_64 &random)
{
    const auto &address = settings.listen;
    m_server = std::make_unique<HttpServer>(
        m_io,
        peerServerConfig(requireEndpoint(address), maxMessageBytes),
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            onRequest(request, responder);
        });
    auto ownAddress = address.substr(0, address.rfind(':') + 1) + std::to_string(m_server->port());
    m_gossip.emplace(std::move(ownAddress), settings.domain, settings.seeds, m_table, m_parts, limits, random);
}

std::uint16_t GatewaySuspects::port() const
{
    return m_server ? m_server->port() : 0;
}

void GatewaySuspects::setSeeds(std::vector<std::string> seeds)
{
    if (m_gossip) {
        m_gossip->setSeeds(std::move(seeds));
    }
}

void GatewaySuspects::tick(TimePoint now)
{
    std::erase_if(m_probes, [](const auto &it) {
        return !it.second->isRunning();
    });
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + expiryPeriod;
        m_table.expire(suspectTime(now));
        m_parts.expire(suspectTime(now));
    }
    probeServers(now);
    for (const auto &it : m_detector.checkAnnouncements(now, m_servers)) {
        recordEnd(now, it);
    }
    recordSurvived(now);
    logClearedParts();
    m_caller.tick(now);
    if (m_gossip) {
        checkForSuspension(now);
        sendGossip(now);
    }
}

void GatewaySuspects::probeServers(TimePoint now)
{
    for (const auto &it : m_detector.takeServersToProbe(now)) {
        probe(it);
    }
}

void GatewaySuspects::sendGossip(TimePoint now)
{
    for (const auto &it : m_gossip->tick(now)) {
        call(now, it);
    }
}

void GatewaySuspects::checkForSuspension(TimePoint now)
{
    const auto suspendedTime = BootClock::now().time_since_epoch() - now.time_since_epoch();
    if (suspendedTime - m_suspendedTime > minSuspension) {
        m_gossip->onSuspended();
    }
    m_suspendedTime = suspendedTime;
}

void GatewaySuspects::onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const bool isPost = request.method == "POST";
    const auto handler = m_handlers.find(request.path);
    if (isPost && request.path == gossipTarget) {
        onGossip(request, *responder);
    } else if (isPost && handler != m_handlers.end()) {
        handler->second(request, responder);
    } else {
        logEvent(LogLevel::Warning,
                 "rejected a call at the port for gateways",
                 {{"method", request.method}, {"path", request.path}});
        responder->reply(statusNotFound, {}, "not found\n");
    }
}

void GatewaySuspects::onGossip(const HttpRequest &request, HttpResponder &responder)
{
    const auto message = decodeGossip(request.body);
    if (!message) {
        logEvent(LogLevel::Warning, "rejected a message of another gateway", {{"reason", message.reason}});
        responder.reply(statusBadRequest, {}, message.reason + "\n");
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto received = m_gossip->onCall(now, *message.value);
    onReceived(now, received);
    responder.reply(statusOk, {{"Content-Type", messagePackType}}, encodeGossip(received.answer));
}

void GatewaySuspects::call(TimePoint now, const GossipCall &call)
{
    m_caller.post(now,
                  call.address,
                  std::string(gossipTarget),
                  messagePackType,
                  encodeGossip(call.message),
                  callTimeout,
                  [this, address = call.address](const std::optional<HttpReply> &reply, const std::string &reason) {
                      onReply(address, reply, reason);
                  });
}

void GatewaySuspects::onReply(const std::string &address,
                              const std::optional<HttpReply> &reply,
                              const std::string &reason)
{
    const auto message = decodeReply(reply, reason, decodeGossip);
    if (!message) {
        logEvent(LogLevel::Debug, "no answer from a gateway", {{"peer", address}, {"reason", message.reason}});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    onReceived(now, m_gossip->onAnswer(now, *message.value));
}

void GatewaySuspects::probe(const ServerIncarnation &server)
{
    const auto *current = m_servers.find(server.id);
    const bool isOtherIncarnation = current != nullptr && current->record.startTimeMs != server.startTimeMs;
    const auto address = current == nullptr ? m_detector.addressOf(server) : std::optional(current->record.address);
    if (isOtherIncarnation || !address || m_probes.contains(server.id)) {
        return;
    }
    auto &probe = m_probes[server.id];
    probe = std::make_unique<CrashProbe>(m_io, parseEndpoint(*address));
    probe->start([this, server](ProbeResult result) {
        const auto now = std::chrono::steady_clock::now();
        if (const auto end = m_detector.onProbed(now, server, result)) {
            recordEnd(now, *end);
        }
    });
}

void GatewaySuspects::recordEnd(TimePoint now, const ServerEnd &end)
{
    const auto incarnation = static_cast<std::uint64_t>(end.server.startTimeMs);
    const auto requests = selectRequests(end, m_table);
    m_table.recordCrash(requests, end.server.id, incarnation, end.server.domain, suspectTime(now));
    m_parts.recordCrash(end.parts, end.server.id, incarnation, suspectTime(end.at));
    for (const auto &it : std::span(requests).first(std::min(requests.size(), maxLoggedRequestsPerEnd))) {
        logEvent(LogLevel::Warning,
                 "server ended under a request",
                 {{"fingerprint", formatFingerprint(it)},
                  {"server", end.server.id},
                  {"server_start_ms", end.server.startTimeMs},
                  {"evidence", nameOf(endEvidenceNames, end.evidence)},
                  {"unanswered_requests", end.requests.size() - end.abandonedRequests},
                  {"abandoned_requests", end.abandonedRequests},
                  {"action", nameOf(suspectActionNames, m_table.decide(it, suspectTime(now)).action)}});
    }
    if (!end.parts.empty()) {
        auto [refused, others] = describeCandidates(now, end.parts, m_parts);
        logEvent(LogLevel::Warning,
                 "server ended under parts of prompts",
                 {{"server", end.server.id},
                  {"server_start_ms", end.server.startTimeMs},
                  {"evidence", nameOf(endEvidenceNames, end.evidence)},
                  {"refused_parts", std::move(refused)},
                  {"other_parts", std::move(others)}});
    }
    if (m_gossip) {
        m_gossip->onNewReports();
        sendGossip(now);
    }
}

/** Requests and parts that servers have outlived, although their callers had left, are less likely to crash servers. */
void GatewaySuspects::recordSurvived(TimePoint now)
{
    for (const auto &it : m_detector.takeSurvived()) {
        m_parts.recordSurvived(it.parts, suspectTime(now));
        if (m_table.recordSurvived(it.fingerprint)) {
            logEvent(LogLevel::Info,
                     "a crash of a server is no longer put down to a request that servers have outlived",
                     {{"fingerprint", formatFingerprint(it.fingerprint)}});
            if (m_gossip) {
                m_gossip->onNewReports();
            }
        }
    }
}

void GatewaySuspects::onReceived(TimePoint now, const Gossip::Received &received)
{
    for (const auto &it : received.newEnds) {
        const auto startTimeMs = static_cast<std::int64_t>(it.incarnation);
        m_detector.onEndReported(it.server, startTimeMs, now - it.age);
        if (const auto end = m_detector.takeReportedEnd(it.server, startTimeMs)) {
            recordEnd(now, *end);
        }
    }
    logReceived(now, received);
}

void GatewaySuspects::logReceived(TimePoint now, const Gossip::Received &received) const
{
    for (const auto &it : received.newReports) {
        logEvent(LogLevel::Info,
                 it.isCleared ? "suspicion cleared by another gateway" : "request suspected by another gateway",
                 {{"fingerprint", formatFingerprint(it.fingerprint)},
                  {"server", it.server},
                  {"server_start_ms", it.incarnation},
                  {"crash_age_ms", it.age.count()},
                  {"action", nameOf(suspectActionNames, m_table.decide(it.fingerprint, suspectTime(now)).action)}});
    }
    for (const auto &it : received.newParts) {
        const auto decision = m_parts.decide(std::span(&it, 1), suspectTime(now));
        if (decision.action == SuspectAction::Refuse) {
            logEvent(LogLevel::Info,
                     "part of prompts refused after news of another gateway",
                     {{"part", formatFingerprint(it)}, {"refused_for_ms", decision.retryAfter.count()}});
        }
    }
}

void GatewaySuspects::logClearedParts()
{
    for (const auto &it : m_parts.takeCleared()) {
        logEvent(LogLevel::Info, "part of prompts no longer refused", {{"part", formatFingerprint(it)}});
    }
}

void GatewaySuspects::setPeerCallHandler(std::string_view target, PeerCallHandler handler)
{
    m_handlers[std::string(target)] = std::move(handler);
}

std::string GatewaySuspects::ownAddress() const
{
    return m_gossip ? m_gossip->ownAddress() : std::string();
}

std::vector<std::string> GatewaySuspects::nearGateways(TimePoint now) const
{
    return m_gossip ? m_gossip->nearPeers(now, nearPeerAge) : std::vector<std::string>();
}

std::size_t GatewaySuspects::gatewayCount() const
{
    return m_gossip ? m_gossip->knownPeerCount() + 1 : 1;
}

FleetView GatewaySuspects::fleetView(TimePoint now)
{
    return m_gossip ? m_gossip->fleetView(now) : FleetView{};
}

std::string GatewaySuspects::choosePeer(TimePoint now) const
{
    return m_gossip ? m_gossip->choosePeer(now) : std::string();
}

nlohmann::json GatewaySuspects::status() const
{
    const auto now = std::chrono::steady_clock::now();
    auto status = describeSuspects(m_table, suspectTime(now));
    status["prompt_parts"] = describeParts(m_parts, suspectTime(now));
    status["live_gateways"] = m_gossip ? m_gossip->livePeerCount(now) : 0;
    return status;
}

} // namespace turmericline
