#include "removed_servers.h"

namespace turmericline {

namespace {

/** A copy of the store from which it is restored is only some seconds old. */
constexpr std::chrono::seconds memoryTime{120};
/** Limit of remembered servers; further ones are not remembered. */
constexpr std::size_t maxRemoved = 8'192;

} // namespace

bool isSameIncarnation(const BackendRecord &a, const BackendRecord &b)
{
    const bool isStated = a.startTimeMs != 0 && b.startTimeMs != 0;
    return a.id == b.id && (!isStated || a.startTimeMs == b.startTimeMs);
}

bool isEarlierIncarnation(const BackendRecord &a, const BackendRecord &b)
{
    return a.id == b.id && a.startTimeMs != 0 && a.startTimeMs < b.startTimeMs;
}

void RemovedServers::add(TimePoint now, const BackendRecord &record, std::optional<StoreEra> era)
{
    if (m_servers.size() < maxRemoved || m_servers.contains(record.id)) {
        m_servers[record.id] = {record, era, now};
    }
}

const RemovedServer *RemovedServers::find(const std::string &id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

void RemovedServers::erase(const std::string &id)
{
    m_servers.erase(id);
}

void RemovedServers::expire(TimePoint now)
{
    std::erase_if(m_servers, [now](const auto &it) {
        return now - it.second.removedAt >= memoryTime;
    });
}

} // namespace turmericline
