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
    Model, ///< Streamed completion of a model service.
    Service, ///< Non-idempotent call of a plain service.
};

inline constexpr std::array<NamedValue<LoadKind>, 2> loadKindNames{{
    {LoadKind::Model, "model"},
    {LoadKind::Service, "service"},
}};

/** Bearer key of a workspace, and its weight in the choice of each request's workspace. */
struct LoadWorkspace
{
    std::string key;
    double weight = 1;
};

struct LoadOptions
{
    std::vector<std::string> targets; ///< Base URLs, used in rotation.
    double rate = 10; ///< Requests per second over all targets.
    std::chrono::duration<double> duration{10};
    std::uint64_t seed = 1;
    std::vector<LoadWorkspace> workspaces;
    std::array<double, requestClassNames.size()> mix{0, 1, 0}; ///< Weight of each RequestClass.
    std::string model = "assistant";
    std::size_t promptTokens = 64; ///< Four bytes per token.
    std::size_t promptGroups = 0; ///< Groups within which prompts share their first half; 0 for no sharing.
    std::size_t maxTokens = 16;
    std::string service;
    std::string servicePath = "/";
    double serviceShare = 0;
    std::size_t closedClients = 0; ///< 0 for open loop.
    std::chrono::milliseconds deadline{0}; ///< Sent as X-Deadline-Ms; 0 sends none.
    std::chrono::milliseconds timeout{120'000}; ///< Time after which the tool cancels a request.
    bool json = false;
    bool help = false;
};

/** Randomly chosen properties of one request. */
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
    std::uint64_t complete = 0; ///< Complete responses with status 2xx; only these count in total.
    std::array<std::uint64_t, 3> verdicts{}; ///< Indexed by Verdict.
    std::map<int, std::uint64_t> statuses; ///< By status code; 0 if no response was received.
    std::uint64_t tokens = 0;
    std::uint64_t badOffsets = 0; ///< Token events whose id is not the next expected offset.
    LatencyStats firstToken;
    LatencyStats betweenTokens;
    LatencyStats total;
    LatencyStats rejection; ///< Time until the end of responses that are not complete.
};

struct LoadReport
{
    std::array<std::array<LoadTotals, requestClassNames.size()>, loadKindNames.size()> totals;
    LatencyStats sendLag; ///< Delay from scheduled to actual sending; large if the tool itself is overloaded.
    std::chrono::duration<double> elapsed{0};
};

} // namespace turmericline
