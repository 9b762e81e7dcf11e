#include "load_tool_report.h"

#include "verdict.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace turmericline {

namespace {

using Json = nlohmann::ordered_json;

double toMillis(std::chrono::nanoseconds t)
{
    return std::chrono::duration<double, std::milli>(t).count();
}

/** Formats p50/p95/p99 in milliseconds, or a dash if there are no samples. */
std::string formatPercentiles(const LatencyStats &stats)
{
    if (stats.count() == 0) {
        return "-";
    }
    return fmt::format("{:.2f}/{:.2f}/{:.2f}",
                       toMillis(stats.percentile(0.50)),
                       toMillis(stats.percentile(0.95)),
                       toMillis(stats.percentile(0.99)));
}

Json percentilesToJson(const LatencyStats &stats)
{
    Json json = {{"count", stats.count()}};
    if (stats.count() != 0) {
        json["p50"] = toMillis(stats.percentile(0.50));
        json["p95"] = toMillis(stats.percentile(0.95));
        json["p99"] = toMillis(stats.percentile(0.99));
        json["max"] = toMillis(stats.max());
    }
    return json;
}

std::uint64_t countOf(const LoadTotals &totals, Verdict verdict)
{
    return totals.verdicts[static_cast<std::size_t>(verdict)];
}

std::string formatStatuses(const LoadTotals &totals)
{
    std::string out;
    for (const auto &[status, n] : totals.statuses) {
        out += fmt::format("{}{}:{}", out.empty() ? "" : " ", status, n);
    }
    return out;
}

Json rowToJson(LoadKind kind, RequestClass requestClass, const LoadTotals &totals)
{
    Json verdicts;
    for (const auto &it : verdictNames) {
        verdicts[std::string(it.name)] = countOf(totals, it.value);
    }
    Json statuses = Json::object();
    for (const auto &[status, n] : totals.statuses) {
        statuses[std::to_string(status)] = n;
    }
    return {{"kind", nameOf(loadKindNames, kind)},
            {"class", nameOf(requestClassNames, requestClass)},
            {"sent", totals.sent},
            {"complete", totals.complete},
            {"verdicts", std::move(verdicts)},
            {"status", std::move(statuses)},
            {"tokens", totals.tokens},
            {"bad_offsets", totals.badOffsets},
            {"first_token_ms", percentilesToJson(totals.firstToken)},
            {"between_tokens_ms", percentilesToJson(totals.betweenTokens)},
            {"total_ms", percentilesToJson(totals.total)},
            {"rejection_ms", percentilesToJson(totals.rejection)}};
}

template<typename Visitor>
void forEachRow(const LoadReport &report, Visitor visit)
{
    for (const auto &kind : loadKindNames) {
        for (const auto &requestClass : requestClassNames) {
            const auto &totals
                = report.totals[static_cast<std::size_t>(kind.value)][static_cast<std::size_t>(requestClass.value)];
            if (totals.sent != 0) {
                visit(kind.value, requestClass.value, totals);
            }
        }
    }
}

} // namespace

void printLoadTable(const LoadReport &report, std::ostream &out)
{
    constexpr auto row = "{:<8}{:<12}{:>8}{:>9}{:>8}{:>8}{:>8}{:>9}{:>5}  {:<24}{:<24}{:<26}{:<26}{}\n";
    out << "Latencies are p50/p95/p99 in ms from the scheduled time.\n";
    out << fmt::format(row,
                       "kind",
                       "class",
                       "sent",
                       "complete",
                       "run",
                       "not-run",
                       "may-run",
                       "tokens",
                       "bad",
                       "first token",
                       "between tokens",
                       "total",
                       "rejection",
                       "status");
    forEachRow(report, [&](LoadKind kind, RequestClass requestClass, const LoadTotals &totals) {
        out << fmt::format(row,
                           nameOf(loadKindNames, kind),
                           nameOf(requestClassNames, requestClass),
                           totals.sent,
                           totals.complete,
                           countOf(totals, Verdict::Run),
                           countOf(totals, Verdict::NotRun),
                           countOf(totals, Verdict::MayHaveRun),
                           totals.tokens,
                           totals.badOffsets,
                           formatPercentiles(totals.firstToken),
                           formatPercentiles(totals.betweenTokens),
                           formatPercentiles(totals.total),
                           formatPercentiles(totals.rejection),
                           formatStatuses(totals));
    });
    out << fmt::format("elapsed {:.1f} s, send lag {} ms\n", report.elapsed.count(), formatPercentiles(report.sendLag));
}

void printLoadJson(const LoadReport &report, std::ostream &out)
{
    std::uint64_t sent = 0;
    forEachRow(report, [&](LoadKind kind, RequestClass requestClass, const LoadTotals &totals) {
        sent += totals.sent;
        out << rowToJson(kind, requestClass, totals).dump() << '\n';
    });
    const Json summary = {{"kind", "summary"},
                          {"sent", sent},
                          {"elapsed_s", report.elapsed.count()},
                          {"send_lag_ms", percentilesToJson(report.sendLag)}};
    out << summary.dump() << '\n';
}

} // namespace turmericline
