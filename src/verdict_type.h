#pragma once

#include <optional>
#include <string>
#include <utility>

namespace turmericline {

/** Whether a backend server has run a request. */
enum class Verdict {
    NotRun, ///< The request has not run, and no copy of it can run later.
    Run, ///< The request has run and the response is complete.
    MayHaveRun, ///< The request may have run, partly or completely.
};

/** A value, or the reason of the last failure, and whether the request may have run. */
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

/** A value or an error message, for operations that do not run a request. */
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
