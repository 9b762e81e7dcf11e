#pragma once

#include "name_table.h"
#include "placement_type.h"
#include "verdict_type.h"

#include <iosfwd>
#include <string>

namespace turmericline {

/** Tokens per window, layer and expert. Windows are contiguous; entries missing from the file have zero tokens. */
struct PlacementTrace
{
    std::uint32_t firstWindow = 0;
    std::vector<std::uint32_t> layers; ///< Numbers of the layers in the file, ascending.
    std::size_t experts = 0;
    std::vector<std::vector<ExpertLoads>> windows; ///< Indexed by window, then by position in layers.
};

/** Load patterns of the trace generator. */
enum class TraceKind { SlowDrift, SuddenShift, RecurringTopic, NearUniform, HotExpert };

inline constexpr std::array<NamedValue<TraceKind>, 10> traceKindNames{{
    {TraceKind::SlowDrift, "slow-drift"},
    {TraceKind::SuddenShift, "sudden-shift"},
    {TraceKind::RecurringTopic, "recurring-topic"},
    {TraceKind::NearUniform, "near-uniform"},
    {TraceKind::HotExpert, "hot-expert"},
    {TraceKind::SlowDrift, "drift"},
    {TraceKind::SuddenShift, "shift"},
    {TraceKind::RecurringTopic, "topic"},
    {TraceKind::NearUniform, "uniform"},
    {TraceKind::HotExpert, "hot"},
}};

/** Size and seed of a generated trace. */
struct TraceParameters
{
    TraceKind kind = TraceKind::SlowDrift;
    std::uint64_t seed = 1;
    std::size_t windows = 60;
    std::size_t layers = 4;
    std::size_t experts = 64;
};

/** Reads CSV `window,layer,expert,tokens`; the header line is optional and rows may come in any order. */
Result<PlacementTrace> parseTrace(std::istream &in, std::optional<std::size_t> experts = {});

void writeTrace(std::ostream &out, const PlacementTrace &trace);

/** Generates a trace; the result depends only on the parameters and is the same on every platform. */
PlacementTrace generateTrace(const TraceParameters &parameters);

} // namespace turmericline
