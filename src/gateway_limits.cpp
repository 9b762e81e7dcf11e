#include "gateway_limits.h"

#include "log.h"
#include "server_limit_codec.h"

#include <asio/post.hpp>

namespace turmericline {

namespace {

/** A request waits for its permit meanwhile. */
constexpr std::chrono::milliseconds askTimeout{150};
constexpr std::chrono::milliseconds healthCheckTimeout{1'000};
/** Without a tick for this long, the process or its machine has stood still. */
constexpr std::chrono::milliseconds minStandstill{500};
constexpr std::chrono::seconds expiryPeriod{10};
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
const std::string messagePackType = "application/msgpack";

std::string_view changeName(const LimitChange &change)
{
    const auto &limit = change.statement.limit;
    if (limit == change.previous) {
        return "limit of a server has a new owner";
    }
    if (!limit) {
        return "limit of a server has ended";
    }
    return change.previous ? "limit of a server has changed" : "server has a limit";
}

std::string healthPathOf(const RoutingTable &config, const std::string &service)
{
    for (const auto &it : config.config().services) {
        if (it.name == service) {
            return it.healthPath;
        }
    }
    return {};
}

} // namespace

GatewayLimits::GatewayLimits(asio::io_context &io,
                             const GatewayDialect &dialect,
                             BackendTable &servers,
                             std::uint64_t seed)
    : m_io(io)
    , m_dialect(dialect)
    , m_servers(servers)
    , m_table(seed)
    , m_caller(io)
{
}

void GatewayLimits::ask(TimePoint now, const std::string &server, std::function<void()> onAnswer)
{
    const auto report = m_table.reportOf(now, server);
    if (!report) {
        asio::post(m_io, std::move(onAnswer));
        return;
    }
    ++m_counts.asked;
    m_caller.post(now,
                  report->owner,
                  std::string(permitTarget),
                  messagePackType,
                  encodePermitRequest(*report),
                  askTimeout,
                  [this, now, server, onAnswer = std::move(onAnswer)](const std::optional<HttpReply> &reply,
                                                                      const std::string &reason) {
                      onReply(now, server, reply, reason);
                      onAnswer();
                  });
}

void GatewayLimits::onReply(TimePoint askedAt,
                            const std::string &server,
                            const std::optional<HttpReply> &reply,
                            const std::string &reason)
{
    const auto now = std::chrono::steady_clock::now();
    const auto answer = decodeReply(reply, reason, decodePermitReply);
    if (answer) {
        m_counts.received += answer.value->isGranted ? 1 : 0;
        m_table.onReply(now, askedAt, server, *answer.value);
        m_servers.onPermitsChanged(server);
    } else {
        ++m_counts.unanswered;
        logEvent(LogLevel::Debug, "no answer about a permit", {{"server", server}, {"reason", answer.reason}});
        m_table.onNoReply(now, server);
    }
    applyChanges();
}

void GatewayLimits::onRequest(const HttpRequest &request, HttpResponder &responder)
{
    const auto report = decodePermitRequest(request.body);
    if (!report) {
        logEvent(LogLevel::Warning, "rejected a request for a permit", {{"reason", report.reason}});
        responder.reply(statusBadRequest, {}, report.reason + "\n");
        return;
    }
    const auto reply = m_table.onAsk(std::chrono::steady_clock::now(), *report.value);
    ++(reply.isGranted ? m_counts.granted : m_counts.denied);
    applyChanges();
    responder.reply(statusOk, {{"Content-Type", messagePackType}}, encodePermitReply(reply));
}

void GatewayLimits::tick(TimePoint now, const FleetView &fleet, const RoutingTable *config)
{
    m_table.setFleet(fleet);
    checkForStandstill(now);
    m_caller.tick(now);
    if (config != nullptr) {
        sendHealthChecks(now, *config);
    }
    if (now >= m_nextExpiryAt) {
        expire(now);
    }
    applyChanges();
}

void GatewayLimits::checkForStandstill(TimePoint now)
{
    const auto suspendedTime = BootClock::now().time_since_epoch() - now.time_since_epoch();
    const auto suspended = suspendedTime - std::exchange(m_suspendedTime, suspendedTime);
    const auto sinceTick = now - std::exchange(m_lastTickAt, now);
    const bool isFirst = sinceTick == now.time_since_epoch();
    if (!isFirst && (suspended > minStandstill || sinceTick > minStandstill)) {
        m_table.onStandstill(now, suspended);
    }
}

void GatewayLimits::sendHealthChecks(TimePoint now, const RoutingTable &config)
{
    for (const auto &it : m_table.takeServersToCheck(now)) {
        const auto *server = m_servers.find(it.server);
        const auto path = server == nullptr ? std::string() : healthPathOf(config, server->record.service);
        if (path.empty()) {
            continue;
        }
        m_caller.get(now,
                     server->record.address,
                     path,
                     healthCheckTimeout,
                     [this, now, it](const std::optional<HttpReply> &reply, const std::string & /*reason*/) {
                         onHealthCheck(now, it, reply);
                     });
    }
}

/** The address may belong to another server by now, so the answer has to name this one. */
void GatewayLimits::onHealthCheck(TimePoint sentAt,
                                  const LimitStatement &checked,
                                  const std::optional<HttpReply> &reply)
{
    if (!reply) {
        return;
    }
    HttpHead head;
    head.status = reply->status;
    head.headers = reply->headers;
    const auto fields = m_dialect.readResponseFields(head);
    if (fields.serverId == checked.server && !fields.hasInvalidLimit) {
        const LimitStatement statement{checked.server, checked.startTimeMs, fields.requestLimit};
        m_table.onHealthCheck(std::chrono::steady_clock::now(), sentAt, statement);
        applyChanges();
    }
}

void GatewayLimits::expire(TimePoint now)
{
    m_nextExpiryAt = now + expiryPeriod;
    m_table.expire(now, [this](const LimitStatement &it) {
        const auto *server = m_servers.find(it.server);
        return server != nullptr && server->record.startTimeMs == it.startTimeMs;
    });
}

void GatewayLimits::applyChanges()
{
    for (const auto &it : m_table.takeChanges()) {
        m_servers.onPermitsChanged(it.statement.server);
        logEvent(LogLevel::Info,
                 changeName(it),
                 {{"server", it.statement.server},
                  {"server_start_ms", it.statement.startTimeMs},
                  {"limit_per_s", it.statement.limit.value_or(-1)},
                  {"previous_per_s", it.previous.value_or(-1)},
                  {"share_per_s", it.basis.share},
                  {"source", nameOf(limitSourceNames, it.basis.source)},
                  {"age_ms", it.basis.age.count()},
                  {"owner", it.basis.owner}});
    }
}

nlohmann::json GatewayLimits::status() const
{
    return describeLimits(m_table, std::chrono::steady_clock::now());
}

} // namespace turmericline
