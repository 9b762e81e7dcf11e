#include "backend_registry.h"

#include "log.h"

#include <vector>

namespace turmericline {

namespace {

/** Announcements do not expire in outages shorter than this. */
constexpr std::chrono::milliseconds minOutage{800};
/** Live servers announce themselves again about 2 s after the end of an outage. */
constexpr std::chrono::milliseconds reannounceTime{2'300};
/** In a new era, the announcement of a server that is gone is removed or expires within about this time. */
constexpr std::chrono::milliseconds expiryTime{5'000};
/** Limit of keys that are remembered so that each invalid announcement is logged once. */
constexpr std::size_t maxRejected = 1'000;
/** A change of more servers, such as a full read, is logged as numbers only. */
constexpr std::size_t maxSingleChanges = 16;
/** Lines for single changes: those of a small fleet are all logged, those of a large one would fill the logs. */
constexpr double singleLinesPerSecond = 2;
constexpr double singleLineBurst = 32;
constexpr double countLinesPerSecond = 1;
constexpr double countLineBurst = 4;
/** Limit of servers of which an ignored older state is logged once instead of each time. */
constexpr std::size_t maxContradicted = 1'000;

/** Whether the announcement differs by more than the time for which the server stays cold, which runs down. */
bool isChanged(const BackendRecord &record, const BackendRecord &known)
{
    auto comparable = known;
    comparable.coldLeft = record.coldLeft;
    return record != comparable;
}

} // namespace

BackendRegistry::BackendRegistry(const GatewayDialect &dialect, BackendTable &table, AnnouncementHandler onAnnounced)
    : m_dialect(dialect)
    , m_table(table)
    , m_onAnnounced(std::move(onAnnounced))
    , m_logBudget(singleLinesPerSecond, singleLineBurst)
    , m_countBudget(countLinesPerSecond, countLineBurst)
{
}

std::size_t BackendRegistry::apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)
{
    if (outage >= minOutage || change.replaced) {
        m_delaysRemovalsUntil = now + reannounceTime;
    }
    if (change.replaced) {
        m_holdsUntil = now + expiryTime;
    }
    m_position = change.position;
    m_isBulk = change.items.size() > maxSingleChanges;
    std::size_t kept = 0;
    std::set<std::string> present;
    for (const auto &it : change.items) {
        if (it.isDeleted) {
            removeOrDelay(now, it.key);
            continue;
        }
        kept += onAnnouncement(now, it) ? 1 : 0;
        present.insert(it.key);
    }
    if (change.isSnapshot) {
        removeMissing(now, present);
    }
    m_isBulk = false;
    logCounts(now);
    return kept;
}

void BackendRegistry::removeMissing(TimePoint now, const std::set<std::string> &present)
{
    std::erase_if(m_held, [&present](const auto &it) {
        return !present.contains(it.first);
    });
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

bool BackendRegistry::isLoggedSingly(TimePoint now)
{
    return !m_isBulk && m_logBudget.take(now);
}

void BackendRegistry::logCounts(TimePoint now)
{
    const auto &n = m_unlogged;
    if ((n.announced == 0 && n.changed == 0 && n.gone == 0) || !m_countBudget.take(now)) {
        return;
    }
    logEvent(LogLevel::Info,
             "several servers changed",
             {{"announced", n.announced},
              {"changed", n.changed},
              {"gone", n.gone},
              {"servers", m_idOfKey.size()},
              {"era", m_position.era.value_or(0)},
              {"revision", m_position.revision}});
    m_unlogged = {};
}

bool BackendRegistry::onAnnouncement(TimePoint now, const StoreItem &item)
{
    m_delayedRemovals.erase(item.key);
    auto parsed = m_dialect.readServer(item.key, item.value);
    if (!parsed) {
        reject(item.key, parsed.reason);
        return false;
    }
    auto &record = *parsed.value;
    const auto *known = lastRecord(record.id);
    if (known != nullptr && isEarlierIncarnation(record, *known)) {
        logKept(*known, "later start");
        return true;
    }
    const bool isInTable = m_table.find(record.id) != nullptr;
    const bool isKept = isInTable ? mergeKnown(record, *known) : holdIfRemoved(now, item.key, record);
    if (!m_held.contains(item.key)) {
        use(now, item.key, std::move(record));
    }
    return isKept;
}

void BackendRegistry::reject(const std::string &key, const std::string &reason)
{
    if (m_rejected.size() < maxRejected && m_rejected.insert(key).second) {
        logEvent(LogLevel::Warning, "server announcement rejected", {{"key", key}, {"reason", reason}});
    }
    m_held.erase(key);
    if (const auto known = m_idOfKey.find(key); known != m_idOfKey.end()) {
        m_table.withhold(known->second);
    }
}

const BackendRecord *BackendRegistry::lastRecord(const std::string &id) const
{
    if (const auto *it = m_table.find(id)) {
        return &it->record;
    }
    const auto *removed = m_removed.find(id);
    return removed == nullptr ? nullptr : &removed->record;
}

bool BackendRegistry::mergeKnown(BackendRecord &record, const BackendRecord &known)
{
    if (!isSameIncarnation(record, known)) {
        return false;
    }
    record.startTimeMs = std::max(record.startTimeMs, known.startTimeMs);
    const bool isKept = known.isLeaving && !record.isLeaving;
    record.isLeaving |= known.isLeaving;
    if (isKept) {
        logKept(known, "leaving");
    } else {
        m_contradicted.erase(record.id);
    }
    return isKept;
}

bool BackendRegistry::holdIfRemoved(TimePoint now, const std::string &key, BackendRecord &record)
{
    const auto *removed = m_removed.find(record.id);
    if (removed == nullptr || !isSameIncarnation(record, removed->record)) {
        m_held.erase(key);
        return false;
    }
    const bool isKept = mergeKnown(record, removed->record);
    const bool isRestored = removed->era != m_position.era && now < m_holdsUntil;
    if (!isRestored) {
        m_held.erase(key);
        m_removed.erase(record.id);
        return isKept;
    }
    if (m_held.insert_or_assign(key, HeldAnnouncement{record, m_holdsUntil}).second) {
        logKept(record, "gone");
    }
    return true;
}

void BackendRegistry::use(TimePoint now, const std::string &key, BackendRecord record)
{
    const auto *known = m_table.find(record.id);
    const bool isChange = known == nullptr || isChanged(record, known->record);
    if (isChange && !isLoggedSingly(now)) {
        ++(known == nullptr ? m_unlogged.announced : m_unlogged.changed);
    } else if (isChange) {
        logEvent(LogLevel::Info,
                 known == nullptr ? "server announced" : "server changed",
                 {{"server", record.id},
                  {"service", record.service},
                  {"address", record.address},
                  {"leaving", record.isLeaving},
                  {"born_ms", record.startTimeMs},
                  {"era", m_position.era.value_or(0)},
                  {"revision", m_position.revision}});
    }
    m_idOfKey[key] = record.id;
    if (m_onAnnounced) {
        m_onAnnounced(now, record);
    }
    m_table.upsert(std::move(record));
}

void BackendRegistry::logKept(const BackendRecord &record, std::string_view fact)
{
    if (m_contradicted.size() >= maxContradicted || !m_contradicted.insert(record.id).second) {
        return;
    }
    logEvent(LogLevel::Warning,
             "older state of a server ignored",
             {{"server", record.id},
              {"kept", fact},
              {"born_ms", record.startTimeMs},
              {"era", m_position.era.value_or(0)},
              {"revision", m_position.revision}});
}

void BackendRegistry::removeOrDelay(TimePoint now, const std::string &key)
{
    m_held.erase(key);
    const auto it = m_idOfKey.find(key);
    if (it == m_idOfKey.end()) {
        return;
    }
    if (now < m_delaysRemovalsUntil) {
        m_delayedRemovals.try_emplace(key, m_delaysRemovalsUntil);
        return;
    }
    if (isLoggedSingly(now)) {
        logEvent(LogLevel::Info, "server gone", {{"server", it->second}});
    } else {
        ++m_unlogged.gone;
    }
    if (const auto *known = m_table.find(it->second)) {
        m_removed.add(now, known->record, m_position.era);
    }
    m_contradicted.erase(it->second);
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
    for (auto it = m_held.begin(); it != m_held.end();) {
        if (now < it->second.dueAt) {
            ++it;
            continue;
        }
        m_contradicted.erase(it->second.record.id);
        m_removed.erase(it->second.record.id);
        use(now, it->first, std::move(it->second.record));
        it = m_held.erase(it);
    }
    m_removed.expire(now);
    logCounts(now);
}

} // namespace turmericline
