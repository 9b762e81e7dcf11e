#include "retry_window.h"

namespace turmericline {

RetryWindow::RetryWindow(const RetryWindowConfig &config)
    : m_config(config)
{
}

std::int64_t RetryWindow::indexOf(TimePoint now) const
{
    return now.time_since_epoch() / (m_config.window / partCount);
}

RetryWindow::Part &RetryWindow::partAt(TimePoint now)
{
    const auto index = indexOf(now);
    auto &part = m_parts[static_cast<std::size_t>(index) % m_parts.size()];
    if (part.index != index) {
        part = {index, 0, 0};
    }
    return part;
}

void RetryWindow::onRequest(TimePoint now)
{
    ++partAt(now).requests;
}

bool RetryWindow::takeRepeat(TimePoint now)
{
    auto &current = partAt(now);
    double requests = 0;
    double repeats = 0;
    for (const auto &it : m_parts) {
        if (it.index + static_cast<std::int64_t>(partCount) >= current.index) {
            requests += it.requests;
            repeats += it.repeats;
        }
    }
    if (repeats + 1 > m_config.ratio * requests + m_config.allowance) {
        return false;
    }
    ++current.repeats;
    return true;
}

} // namespace turmericline
