#pragma once

#include <chrono>
#include <ctime>

namespace turmericline {

/** Monotonic time within one process; stands still while the machine is suspended. */
using TimePoint = std::chrono::steady_clock::time_point;

/** Monotonic clock that includes time in suspend, for the age of information that must expire. */
struct BootClock
{
    using rep = std::chrono::nanoseconds::rep;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now()
    {
        std::timespec t{};
        clock_gettime(CLOCK_BOOTTIME, &t);
        return time_point(std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec));
    }
};

using BootTime = BootClock::time_point;

} // namespace turmericline
