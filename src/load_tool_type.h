#pragma once

#include "document_type.h"
#include "latency_stats.h"
#include "verdict_type.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericline {

using LoadClock = std::chrono::steady_clock;

enum class LoadKind {
    Model, ///< A streamed completion.
    Service, ///< A non-idempotent call of a plain service.
};

inline constexpr std::array<NamedValue<LoadKind>, 2> loadKindNames{{
    {LoadKind::Model, "model"},
    {LoadKind::Service, "service"},
}};

/** A workspace's bearer key and its share of the requests relative to the other weights. */
struct LoadWorkspace
{
    std::string key;
    double weight = 1;
};

struct LoadOptions
{
    std::vector<std::string> targets; ///< Base URLs, used in turn.
    double rate = 10; ///< Requests per second of all targets together.
    std::chrono::duration<double> duration{10};
    std::uint64_t seed = 1;
    std::vector<LoadWorkspace> workspaces;
    std::array<double, requestClassNames.size()> mix{0, 1, 0}; ///< Weight of each RequestClass.
    std::string model = "assistant";
    std::size_t promptTokens = 64; ///< At four bytes a token.
    std::size_t promptGroups = 0; ///< Prompts share their first half with this many groups; 0 shares nothing.
    std::size_t maxTokens = 16;
    std::string service;
    std::string servicePath = "/";
    double serviceShare = 0;
    std::size_t closedClients = 0; ///< 0 for open loop.
    std::chrono::milliseconds deadline{0}; ///< Sent as X-Deadline-Ms; 0 sends none.
    std::chrono::milliseconds timeout{120'000}; ///< After which the tool drops a request.
    bool json = false;
    bool help = false;
};

/** What the tool draws for one request. */
struct LoadRequest
{
    std::uint64_t number = 0;
    LoadKind kind = LoadKind::Model;
    RequestClass requestClass = RequestClass::Interactive;
    std::size_t workspace = 0;
    std::size_t target = 0;
    std::size_t promptGroup = 0;
};

/** Results of the requests of one kind and class. */
struct LoadTotals
{
    std::uint64_t sent = 0;
    std::uint64_t complete = 0; ///< Whole successful answers; only these count in total latency.
    std::array<std::uint64_t, 3> verdicts{}; ///< By Verdict.
    std::map<int, std::uint64_t> statuses; ///< By status code; 0 without an answer.
    std::uint64_t tokens = 0;
    std::uint64_t badOffsets = 0; ///< Token events whose id was not the next offset.
    LatencyStats firstToken;
    LatencyStats betweenTokens;
    LatencyStats total;
    LatencyStats rejection; ///< Until the end of an answer that is not complete.
};

struct LoadReport
{
    std::array<std::array<LoadTotals, requestClassNames.size()>, loadKindNames.size()> totals;
    LatencyStats sendLag; ///< From the scheduled time to the sending; shows whether the schedule was held.
    std::chrono::duration<double> elapsed{0};
};

} // namespace turmericline
