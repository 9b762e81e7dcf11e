#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace turmericline::fakes {

using TimePoint = std::chrono::steady_clock::time_point;

/** Value whose changes become visible after a lag; the initial value is visible at once. */
template<typename T>
class Lagged
{
public:
    Lagged(std::chrono::milliseconds lag, T initial)
        : m_lag(lag)
    {
        m_history.emplace_back(TimePoint::min(), std::move(initial));
    }

    void set(TimePoint now, T value)
    {
        prune(now);
        m_history.emplace_back(now, std::move(value));
    }

    const T &get(TimePoint now)
    {
        prune(now);
        return m_history.front().second;
    }

    void setLag(std::chrono::milliseconds lag)
    {
        m_lag = lag;
    }

private:
    void prune(TimePoint now)
    {
        while (m_history.size() > 1 && m_history[1].first + m_lag <= now) {
            m_history.pop_front();
        }
    }

    std::chrono::milliseconds m_lag;
    std::deque<std::pair<TimePoint, T>> m_history;
};

} // namespace turmericline::fakes
