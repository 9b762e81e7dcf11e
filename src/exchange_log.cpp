#include "exchange_log.h"

#include "log.h"
#include "suspect_codec.h"
#include "verdict.h"

namespace turmericline {

namespace {

nlohmann::json formatFingerprints(const std::vector<Fingerprint> &fingerprints)
{
    auto texts = nlohmann::json::array();
    for (const auto &it : fingerprints) {
        texts.push_back(formatFingerprint(it));
    }
    return texts;
}

/** Names the server of each failed attempt, so that attempts of all copies of a request can be counted from the logs. */
void logFailedAttempts(const Exchange &exchange)
{
    const auto &request = exchange.request();
    for (const auto &it : exchange.summary().failedAttempts) {
        logEvent(LogLevel::Info,
                 "attempt failed",
                 {{"request", request.caller.requestId},
                  {"fingerprint", formatFingerprint(request.fingerprint)},
                  {"prompt_parts", formatFingerprints(request.parts)},
                  {"server", it.server.id},
                  {"server_start_ms", it.server.startTimeMs},
                  {"verdict", verdictName(it.verdict)},
                  {"fault", it.fault ? nameOf(backendFaultNames, *it.fault) : "none"},
                  {"duration_ms", it.duration.count()},
                  {"silence_ms", it.silence.count()},
                  {"reason", it.reason}});
    }
}

std::string_view statementText(const ServerStatement &statement)
{
    if (statement.isLeaving) {
        return "server states that it leaves";
    }
    return statement.hasInvalidLimit ? "server states an invalid limit" : "server wants no requests for a time";
}

void logStatements(const Exchange &exchange)
{
    for (const auto &it : exchange.summary().statements) {
        logEvent(LogLevel::Info,
                 statementText(it),
                 {{"request", exchange.request().caller.requestId},
                  {"server", it.server.id},
                  {"server_start_ms", it.server.startTimeMs},
                  {"retry_after_ms", it.retryAfter ? it.retryAfter->count() : 0}});
    }
}

void logLimitDenials(const Exchange &exchange)
{
    for (const auto &it : exchange.summary().limitDenials) {
        logEvent(LogLevel::Info,
                 "no permit for a server with a limit",
                 {{"request", exchange.request().caller.requestId},
                  {"server", it.server},
                  {"limit_per_s", it.basis.limit},
                  {"share_per_s", it.basis.share},
                  {"age_ms", it.basis.age.count()},
                  {"source", nameOf(limitSourceNames, it.basis.source)},
                  {"owner", it.basis.owner},
                  {"wait_ms", it.wait.count()}});
    }
}

} // namespace

void logExchange(const Exchange &exchange, std::chrono::steady_clock::duration total)
{
    const auto &request = exchange.request();
    const auto &summary = exchange.summary();
    logFailedAttempts(exchange);
    logStatements(exchange);
    logLimitDenials(exchange);
    if (const auto &admission = summary.admission) {
        logEvent(LogLevel::Info,
                 "request not admitted",
                 {{"request", request.caller.requestId},
                  {"priority", request.priority},
                  {"load_per_rank", admission->load},
                  {"limit_per_rank", admission->limit},
                  {"pause_ms", admission->pause.count()}});
    }
    logEvent(LogLevel::Info,
             "request ended",
             {{"request", request.caller.requestId},
              {"fingerprint", formatFingerprint(request.fingerprint)},
              {"route", request.rule->name},
              {"workspace", request.workspace},
              {"status", summary.status},
              {"verdict", verdictName(summary.verdict)},
              {"attempts", summary.attempts},
              {"cold_servers_left_out", summary.coldDenials},
              {"server", summary.server},
              {"first_byte_ms", summary.firstByte ? summary.firstByte->count() : -1},
              {"total_ms", std::chrono::duration_cast<std::chrono::milliseconds>(total).count()},
              {"config_version", request.table->config().version},
              {"servers_era", request.servers.position.era.value_or(0)},
              {"servers_revision", request.servers.position.revision},
              {"servers_age_ms", request.servers.age ? request.servers.age->count() : -1},
              {"reason", summary.reason}});
}

} // namespace turmericline
