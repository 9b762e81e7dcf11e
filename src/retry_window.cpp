#include "retry_window.h"

namespace turmericline {

RetryWindow::RetryWindow(const RetryWindowConfig &config)
    : m_config(config)
{
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

} // namespace turmericline
