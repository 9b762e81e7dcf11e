#pragma once

#include "name_table.h"
#include "verdict_type.h"

namespace turmericline {

inline constexpr std::array<NamedValue<Verdict>, 3> verdictNames{{
    {Verdict::NotRun, "not-run"},
    {Verdict::Run, "run"},
    {Verdict::MayHaveRun, "may-have-run"},
}};

/** Name of a verdict as callers see it. */
constexpr std::string_view verdictName(Verdict v)
{
    return nameOf(verdictNames, v);
}

/** Reads a verdict; an unknown or missing name is the cautious Verdict::MayHaveRun. */
constexpr Verdict parseVerdict(std::string_view name)
{
    return valueOf(verdictNames, name).value_or(Verdict::MayHaveRun);
}

} // namespace turmericline
