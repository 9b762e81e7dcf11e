#include "gateway_callers.h"

#include "log.h"

#include <algorithm>

namespace turmericline {

namespace {

/** Part of the memory that is freed at a time, to limit how often the connections are sorted. */
constexpr std::size_t shedDivisor = 16;
/** For the same reason: time after an attempt that found nothing to close. */
constexpr std::chrono::milliseconds shedPause{10};
constexpr double shedLinesPerSecond = 1;
constexpr double shedLineBurst = 4;

} // namespace

GatewayCallers::GatewayCallers(std::size_t memoryBytes)
    : m_budget(std::make_shared<MemoryBudget>(memoryBytes))
    , m_logBudget(shedLinesPerSecond, shedLineBurst)
{
}

void GatewayCallers::add(std::shared_ptr<CallerConnection> connection)
{
    m_connections.push_back(std::move(connection));
}

std::vector<CallerUsage> GatewayCallers::usages() const
{
    std::vector<CallerUsage> all;
    all.reserve(m_connections.size());
    for (const auto &it : m_connections) {
        all.push_back(it->usage());
    }
    return all;
}

bool GatewayCallers::makeRoom(std::size_t maxConnections)
{
    if (m_connections.size() < maxConnections) {
        return true;
    }
    removeClosed();
    const auto all = usages();
    const auto n = chooseCallerToReplace(all);
    if (m_connections.size() >= maxConnections && n < all.size()) {
        (*std::next(m_connections.begin(), static_cast<std::ptrdiff_t>(n)))->close();
        removeClosed();
        logShed(std::chrono::steady_clock::now(), "too many connections", 1);
    }
    return m_connections.size() < maxConnections;
}

void GatewayCallers::shed(TimePoint now, std::size_t bytes, std::size_t holderBytes)
{
    if (now < m_nextShedAt) {
        return;
    }
    // Copied for access by index.
    const std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(), m_connections.end());
    const auto chosen
        = chooseCallersToClose(now, usages(), std::max(bytes, m_budget->limit() / shedDivisor), holderBytes);
    if (chosen.empty()) {
        m_nextShedAt = now + shedPause;
    }
    for (const auto n : chosen) {
        connections[n]->shed();
    }
    logShed(now, "the memory for callers is used up", chosen.size());
}

void GatewayCallers::logShed(TimePoint now, std::string_view reason, std::size_t count)
{
    m_shed += count;
    m_unloggedShed += count;
    if (m_unloggedShed > 0 && m_logBudget.take(now)) {
        logEvent(LogLevel::Warning,
                 "connections of callers closed",
                 {{"reason", reason},
                  {"closed", std::exchange(m_unloggedShed, 0)},
                  {"connections", m_connections.size()},
                  {"held_bytes", m_budget->used()},
                  {"limit_bytes", m_budget->limit()}});
    }
}

void GatewayCallers::tick(TimePoint now)
{
    for (const auto &it : m_connections) {
        it->tick(now);
    }
    removeClosed();
}

void GatewayCallers::removeClosed()
{
    std::erase_if(m_connections, [](const auto &it) {
        return it->isClosed();
    });
}

} // namespace turmericline
