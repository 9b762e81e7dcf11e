#pragma once

#include "name_table.h"
#include "verdict_type.h"

namespace turmericline {

inline constexpr std::array<NamedValue<Verdict>, 3> verdictNames{{
    {Verdict::NotRun, "not-run"},
    {Verdict::Run, "run"},
    {Verdict::MayHaveRun, "may-have-run"},
}};

/** Name of a verdict in responses to callers and in logs. */
constexpr std::string_view verdictName(Verdict v)
{
    return nameOf(verdictNames, v);
}

/** Parses a verdict. For safety, an unknown or missing name is read as Verdict::MayHaveRun. */
constexpr Verdict parseVerdict(std::string_view name)
{
    return valueOf(verdictNames, name).value_or(Verdict::MayHaveRun);
}

} // namespace turmericline
