#pragma once

#include <optional>
#include <string>
#include <utility>

namespace turmericline {

/** Says whether a request was run by a backend server. */
enum class Verdict {
    NotRun, ///< It was not run and no copy of it can run later.
    Run, ///< It was run and the answer is complete.
    MayHaveRun, ///< It may have been run, in part or as a whole.
};

/** A value, or the last reason why there is none, and whether the request may have been run. */
template<typename T>
struct Outcome
{
    std::optional<T> value;
    Verdict verdict = Verdict::NotRun;
    std::string reason;

    explicit operator bool() const
    {
        return value.has_value();
    }
};

/** A value or the reason why there is none, for operations that run no request. */
template<typename T>
struct Result
{
    std::optional<T> value;
    std::string reason;

    explicit operator bool() const
    {
        return value.has_value();
    }

    static Result ok(T v)
    {
        return {std::move(v), {}};
    }

    static Result fail(std::string why)
    {
        return {std::nullopt, std::move(why)};
    }
};

} // namespace turmericline
