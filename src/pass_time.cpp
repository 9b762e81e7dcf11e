#include "pass_time.h"

#include <cmath>

namespace turmericline {

namespace {

using Seconds = std::chrono::duration<double>;

/** Half-life of a pause in the mean: some passes, so that a change of load shows before the streams of one burst end. */
constexpr Seconds halfLife{0.4};
/** Without a pause for this long, the group serves nothing that this gateway sees. */
constexpr std::chrono::milliseconds recentTime{1'000};

} // namespace

void PassTimeEstimate::add(TimePoint now, Seconds pause, double load)
{
    if (!isRecent(now)) {
        m_mean = pause;
        m_deviation = pause / 8;
        m_load = load;
        m_lastAt = now;
        return;
    }
    // The streams of one pass report it at almost the same time; weights by elapsed time count it about once.
    const Seconds elapsed = std::min<Seconds>(now - m_lastAt + std::chrono::milliseconds(1), halfLife);
    const double weight = 1 - std::exp2(-elapsed / halfLife);
    m_deviation += (Seconds(std::abs((pause - m_mean).count())) - m_deviation) * weight;
    m_mean += (pause - m_mean) * weight;
    m_load += (load - m_load) * weight;
    m_lastAt = now;
}

bool PassTimeEstimate::isRecent(TimePoint now) const
{
    return m_lastAt != TimePoint{} && now - m_lastAt < recentTime;
}

std::optional<double> PassTimeEstimate::loadLimit(TimePoint now, Seconds target, const EngineProfile &engine) const
{
    const auto usual = usualMaximum();
    if (!isRecent(now) || usual <= Seconds::zero() || engine.requestMs <= 0) {
        return std::nullopt;
    }
    // A pass takes stepMs + requestMs * load, times a factor for uneven ranks, prompts and slow servers, which is measured.
    const double measured = engine.stepMs + engine.requestMs * m_load;
    const double allowed = measured * (target / usual);
    return (allowed - engine.stepMs) / engine.requestMs;
}

} // namespace turmericline
