#include "backend_registry.h"

#include "log.h"

#include <vector>

namespace turmericline {

namespace {

/** Announcements do not expire in outages shorter than this. */
constexpr std::chrono::milliseconds minOutage{800};
/** Live servers announce themselves again about 2 s after the end of an outage. */
constexpr std::chrono::milliseconds reannounceTime{2'300};
/** Limit of keys that are remembered so that each invalid announcement is logged once. */
constexpr std::size_t maxRejected = 1'000;

} // namespace

BackendRegistry::BackendRegistry(const GatewayDialect &dialect, BackendTable &table)
    : m_dialect(dialect)
    , m_table(table)
{
}

void BackendRegistry::apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)
{
    if (outage >= minOutage) {
        m_delaysRemovalsUntil = now + reannounceTime;
    }
    std::set<std::string> present;
    for (const auto &it : change.items) {
        if (it.isDeleted) {
            removeOrDelay(now, it.key);
            continue;
        }
        upsert(change.position, it);
        present.insert(it.key);
    }
    if (!change.isSnapshot) {
        return;
    }
    std::vector<std::string> missing;
    for (const auto &[key, id] : m_idOfKey) {
        if (!present.contains(key)) {
            missing.push_back(key);
        }
    }
    for (const auto &it : missing) {
        removeOrDelay(now, it);
    }
}

void BackendRegistry::upsert(const StorePosition &position, const StoreItem &item)
{
    m_delayedRemovals.erase(item.key);
    auto record = m_dialect.readServer(item.key, item.value);
    if (!record) {
        if (m_rejected.size() < maxRejected && m_rejected.insert(item.key).second) {
            logEvent(LogLevel::Warning, "server announcement rejected", {{"key", item.key}, {"reason", record.reason}});
        }
        return;
    }
    const auto *known = m_table.find(record.value->id);
    if (known == nullptr || known->record != *record.value) {
        logEvent(LogLevel::Info,
                 known == nullptr ? "server announced" : "server changed",
                 {{"server", record.value->id},
                  {"service", record.value->service},
                  {"address", record.value->address},
                  {"leaving", record.value->isLeaving},
                  {"born_ms", record.value->startTimeMs},
                  {"era", position.era.value_or(0)},
                  {"revision", position.revision}});
    }
    m_idOfKey[item.key] = record.value->id;
    m_table.upsert(std::move(*record.value));
}

void BackendRegistry::removeOrDelay(TimePoint now, const std::string &key)
{
    const auto it = m_idOfKey.find(key);
    if (it == m_idOfKey.end()) {
        return;
    }
    if (now < m_delaysRemovalsUntil) {
        m_delayedRemovals.try_emplace(key, m_delaysRemovalsUntil);
        return;
    }
    logEvent(LogLevel::Info, "server gone", {{"server", it->second}});
    m_table.remove(it->second);
    m_delayedRemovals.erase(key);
    m_idOfKey.erase(it);
}

void BackendRegistry::tick(TimePoint now)
{
    std::vector<std::string> due;
    for (const auto &[key, at] : m_delayedRemovals) {
        if (now >= at) {
            due.push_back(key);
        }
    }
    for (const auto &it : due) {
        removeOrDelay(now, it);
    }
}

} // namespace turmericline
