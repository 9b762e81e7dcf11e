#pragma once

#include "time_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace turmericline {

struct RetryWindowConfig
{
    std::chrono::milliseconds window{10'000};
    double ratio = 0.1; ///< Retries per request.
    double allowance = 10; ///< Retries per window that this gateway may send beyond the ratio.
};

/**
 * Retry budget of one gateway for one service. In any window, the retries stay within a ratio of the requests of this
 * gateway in the window, plus an allowance. As each gateway counts only its own requests, the budgets add up to the
 * same ratio for the whole service without coordination.
 *
 * Prevents retry storms, in which the retries at a failing service add to the load that makes it fail.
 */
class RetryWindow
{
public:
    explicit RetryWindow(const RetryWindowConfig &config = {});

    /** Applies a new ratio and allowance to the counts so far. */
    void setLimits(double ratio, double allowance);
    void onRequest(TimePoint now);
    /** Uses one retry of the budget; returns false if it is exhausted. */
    bool tryAcquireRetry(TimePoint now);

private:
    /** Counts are kept per sub-window. The oldest one is always counted completely, so the limit holds in any span. */
    static constexpr std::size_t subWindowCount = 10;

    struct SubWindow
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    SubWindow &subWindowAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    RetryWindowConfig m_config;
    std::array<SubWindow, subWindowCount + 1> m_subWindows;
};

/**
 * Returns the allowance of one of @p gateways gateways: @p largest, or less if all of them together would take more than
 * a share of @p fleetSlack, the retries per window that the whole fleet may send beyond the ratio. 0 means no such limit.
 */
double retryAllowance(double largest, double fleetSlack, std::size_t gateways);

} // namespace turmericline
