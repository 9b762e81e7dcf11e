#include "pass_time.h"

#include <algorithm>
#include <cmath>

namespace turmericline {

namespace {

using Seconds = std::chrono::duration<double>;

/** Half-life of a pause in the mean: a few passes. */
constexpr Seconds halfLife{0.15};
/** Half-life of the highest slowness: some shifts of the demand for experts come within it. */
constexpr Seconds peakHalfLife{10};
/** A longer pause than this multiple of the mean is that of one stream, not of a pass. */
constexpr double maxPauseRatio = 3;
/** Without a pause for this long, the group serves nothing that this gateway sees. */
constexpr std::chrono::milliseconds recentTime{1'000};

/** Time of a step with @p load requests, in seconds. */
Seconds stepTime(const EngineProfile &engine, double load)
{
    return Seconds((engine.stepMs + engine.requestMs * load) / 1'000);
}

} // namespace

void PassTimeEstimate::add(TimePoint now, Seconds pause, double load, const EngineProfile &engine)
{
    if (!isRecent(now)) {
        m_mean = pause;
        m_slowness = pause / stepTime(engine, load);
        m_peakSlowness = std::max(slowness(now), m_slowness);
        m_lastAt = now;
        return;
    }
    // The streams of one pass report it at almost the same time; weights by elapsed time count it about once.
    const Seconds elapsed = std::min<Seconds>(now - m_lastAt + std::chrono::milliseconds(1), halfLife);
    const double weight = 1 - std::exp2(-elapsed / halfLife);
    pause = std::min(pause, m_mean * maxPauseRatio);
    m_mean += (pause - m_mean) * weight;
    m_slowness += (pause / stepTime(engine, load) - m_slowness) * weight;
    m_peakSlowness = std::max(slowness(now), m_slowness);
    m_lastAt = now;
}

/** Highest slowness of the last seconds; older ones count less. */
double PassTimeEstimate::slowness(TimePoint now) const
{
    return m_slowness + (m_peakSlowness - m_slowness) * std::exp2(-Seconds(now - m_lastAt) / peakHalfLife);
}

Seconds PassTimeEstimate::slowest(TimePoint now, double load, const EngineProfile &engine) const
{
    return slowness(now) * stepTime(engine, load);
}

bool PassTimeEstimate::isRecent(TimePoint now) const
{
    return m_lastAt != TimePoint{} && now - m_lastAt < recentTime;
}

std::optional<double> PassTimeEstimate::loadLimit(TimePoint now, Seconds target, const EngineProfile &engine) const
{
    if (!isRecent(now) || slowness(now) <= 0 || engine.requestMs <= 0) {
        return std::nullopt;
    }
    const double stepMs = target.count() * 1'000 / slowness(now);
    return (stepMs - engine.stepMs) / engine.requestMs;
}

} // namespace turmericline
