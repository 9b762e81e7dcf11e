#include "send_history.h"

namespace turmericline {

SendHistory::SendHistory(std::size_t capacity)
    : m_capacity(capacity)
{
}

void SendHistory::recordSent(const Fingerprint &id)
{
    ++use(id).sent;
}

void SendHistory::recordNotRun(const Fingerprint &id)
{
    if (m_index.contains(id)) {
        auto &sent = use(id).sent;
        sent -= sent > 0 ? 1 : 0;
    }
}

void SendHistory::recordSound(const Fingerprint &id, Age now)
{
    auto &record = use(id);
    record.soundAt = now;
    record.sent = 0;
}

void SendHistory::setSurvived(const Fingerprint &id, std::uint32_t n)
{
    use(id).survived = n;
}

SendRecord SendHistory::find(const Fingerprint &id) const
{
    const auto it = m_index.find(id);
    return it == m_index.end() ? SendRecord{} : it->second->record;
}

std::size_t SendHistory::size() const
{
    return m_entries.size();
}

/** Returns the record of @p id as the last used one; the least recently used one gives way to a new record. */
SendRecord &SendHistory::use(const Fingerprint &id)
{
    const auto known = m_index.find(id);
    if (known != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return m_entries.front().record;
    }
    if (m_entries.size() >= m_capacity) {
        m_index.erase(m_entries.back().id);
        m_entries.pop_back();
    }
    m_entries.push_front({id, {}});
    m_index.emplace(id, m_entries.begin());
    return m_entries.front().record;
}

} // namespace turmericline
