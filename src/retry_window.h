#pragma once

#include "time_type.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace turmericline {

struct RetryWindowConfig
{
    std::chrono::milliseconds window{10'000};
    double ratio = 0.1; ///< Repeats per request, over all gateways together.
    double allowance = 10; ///< Repeats in a window beyond the ratio, of this gateway.
};

/**
 * Limits how many repeats one gateway sends to one service, from its own requests alone: with each repeat, those of the
 * window before it stay within the share of the requests in it. The limits of all gateways add up to that of the service
 * without any exchange between them.
 *
 * Load pattern: a service that fails everything, where each repeat adds to the load that makes it fail.
 */
class RetryWindow
{
public:
    explicit RetryWindow(const RetryWindowConfig &config = {});

    void onRequest(TimePoint now);
    /** Takes one repeat if the window has room. */
    bool takeRepeat(TimePoint now);

private:
    /** Parts that a window is counted in; the oldest part is counted whole, so the limit holds for any span. */
    static constexpr std::size_t partCount = 10;

    struct Part
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Part &partAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    RetryWindowConfig m_config;
    std::array<Part, partCount + 1> m_parts;
};

} // namespace turmericline
