#include "retry_window.h"

#include <algorithm>

namespace turmericline {

namespace {

/** The rest is for gateways that do not know of each other yet, and for those that restart with an empty window. */
constexpr double usedSlackShare = 0.6;

} // namespace

RetryWindow::RetryWindow(const RetryWindowConfig &config)
    : m_config(config)
{
}

void RetryWindow::setLimits(double ratio, double allowance)
{
    m_config.ratio = ratio;
    m_config.allowance = allowance;
}

std::int64_t RetryWindow::indexOf(TimePoint now) const
{
    return now.time_since_epoch() / (m_config.window / subWindowCount);
}

RetryWindow::SubWindow &RetryWindow::subWindowAt(TimePoint now)
{
    const auto index = indexOf(now);
    auto &subWindow = m_subWindows[static_cast<std::size_t>(index) % m_subWindows.size()];
    if (subWindow.index != index) {
        subWindow = {index, 0, 0};
    }
    return subWindow;
}

void RetryWindow::onRequest(TimePoint now)
{
    ++subWindowAt(now).requests;
}

bool RetryWindow::tryAcquireRetry(TimePoint now)
{
    auto &current = subWindowAt(now);
    double requests = 0;
    double retries = 0;
    for (const auto &it : m_subWindows) {
        if (it.index + static_cast<std::int64_t>(subWindowCount) >= current.index) {
            requests += it.requests;
            retries += it.retries;
        }
    }
    if (retries + 1 > m_config.ratio * requests + m_config.allowance) {
        return false;
    }
    ++current.retries;
    return true;
}

double retryAllowance(double largest, double fleetSlack, std::size_t gateways)
{
    if (fleetSlack == 0) {
        return largest;
    }
    return std::min(largest, usedSlackShare * fleetSlack / static_cast<double>(std::max<std::size_t>(gateways, 1)));
}

} // namespace turmericline
