#include "feed_log.h"

#include <algorithm>
#include <set>

namespace turmericline {

namespace {

/** Gateways that have missed more changes than this get all items. */
constexpr std::size_t maxEntries = 4'096;

} // namespace

FeedLog::FeedLog(std::uint64_t id)
    : m_id(id)
{
}

/** Records that @p key has a new value, or none if @p value is null. */
void FeedLog::record(const std::string &key, const std::string *value)
{
    const auto known = m_values.find(key);
    const bool isSame = value == nullptr ? known == m_values.end() : known != m_values.end() && known->second == *value;
    if (isSame) {
        return;
    }
    if (value == nullptr) {
        m_values.erase(known);
    } else {
        m_values[key] = *value;
    }
    m_entries.push_back({++m_lastChange, key});
    if (m_entries.size() > maxEntries) {
        m_entries.pop_front();
    }
}

void FeedLog::apply(const StoreChange &change)
{
    m_position = change.position;
    if (change.replaced) {
        // Whoever follows must see that the state is one of a new era, as a whole.
        m_entries.clear();
        ++m_lastChange;
    }
    std::set<std::string> present;
    for (const auto &it : change.items) {
        record(it.key, it.isDeleted ? nullptr : &it.value);
        present.insert(it.key);
    }
    if (!change.isSnapshot) {
        return;
    }
    std::vector<std::string> missing;
    for (const auto &[key, value] : m_values) {
        if (!present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const auto &it : missing) {
        record(it, nullptr);
    }
}

FeedCursor FeedLog::end() const
{
    return {m_id, m_lastChange};
}

StoreItem FeedLog::itemOf(const std::string &key) const
{
    const auto it = m_values.find(key);
    return it == m_values.end() ? StoreItem{key, {}, true} : StoreItem{key, it->second, false};
}

StoreChange FeedLog::changesAfter(const FeedCursor &cursor) const
{
    StoreChange change;
    change.position = m_position;
    const auto firstKnown = m_entries.empty() ? m_lastChange : m_entries.front().change - 1;
    change.isSnapshot = cursor.log != m_id || cursor.change < firstKnown || cursor.change > m_lastChange;
    if (change.isSnapshot) {
        for (const auto &[key, value] : m_values) {
            change.items.push_back({key, value, false});
        }
        return change;
    }
    std::set<std::string> changed;
    for (const auto &it : m_entries) {
        if (it.change > cursor.change) {
            changed.insert(it.key);
        }
    }
    for (const auto &it : changed) {
        change.items.push_back(itemOf(it));
    }
    return change;
}

} // namespace turmericline
