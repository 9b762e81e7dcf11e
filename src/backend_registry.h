#pragma once

#include "backend_table.h"
#include "event_budget.h"
#include "removed_servers.h"
#include "store_feed.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace turmericline {

/**
 * Updates the table of backend servers from their announcements in the store.
 *
 * One run of a server only goes forward: from ready to leaving, and to gone. A store that is restored from a copy, or a
 * stale read, gives an older state, which does not undo what is known.
 *
 * Announcements expire during an outage of the store although their servers are alive, and a copy lacks those made since.
 * Removals that are seen shortly after an outage or in a new era are therefore delayed until the servers have had time to
 * announce themselves again.
 */
class BackendRegistry
{
public:
    /** Called with each valid announcement of a server that is in use. */
    using AnnouncementHandler = std::function<void(TimePoint now, const BackendRecord &record)>;

    BackendRegistry(const GatewayDialect &dialect, BackendTable &table, AnnouncementHandler onAnnounced = {});

    /**
     * Applies @p change and returns the number of known facts that it contradicts, which are kept. @p outage is the time
     * for which the store could not be read before it.
     */
    std::size_t apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage);
    /** Applies what was delayed and is due. */
    void tick(TimePoint now);

private:
    /** An announcement of a server that was known to be gone before the era began. */
    struct HeldAnnouncement
    {
        BackendRecord record;
        TimePoint dueAt{};
    };

    /** Changes that are logged as numbers only. */
    struct ChangeCounts
    {
        std::size_t announced = 0;
        std::size_t changed = 0;
        std::size_t gone = 0;
    };

    /** Returns whether a known fact was kept against the announcement. */
    bool onAnnouncement(TimePoint now, const StoreItem &item);
    /** Gives the server with this invalid announcement no requests, if it is known. */
    void reject(const std::string &key, const std::string &reason);
    /** Last announcement of a server that is in use or was removed; null if neither. */
    const BackendRecord *lastRecord(const std::string &id) const;
    /** Adds to @p record what is known of the same run and cannot be undone; returns whether that changes it. */
    bool mergeKnown(BackendRecord &record, const BackendRecord &known);
    /** Holds the announcement if the server was gone before this era; returns whether a known fact was kept against it. */
    bool holdIfRemoved(TimePoint now, const std::string &key, BackendRecord &record);
    void use(TimePoint now, const std::string &key, BackendRecord record);
    bool isLoggedSingly(TimePoint now);
    void logCounts(TimePoint now);
    void logKept(const BackendRecord &record, std::string_view fact);
    void removeOrDelay(TimePoint now, const std::string &key);
    void removeMissing(TimePoint now, const std::set<std::string> &present);

    const GatewayDialect &m_dialect;
    BackendTable &m_table;
    AnnouncementHandler m_onAnnounced;
    std::map<std::string, std::string> m_idOfKey;
    std::map<std::string, TimePoint> m_delayedRemovals; ///< Due time by key.
    std::map<std::string, HeldAnnouncement> m_held; ///< By key.
    RemovedServers m_removed;
    std::set<std::string> m_rejected; ///< Keys with an invalid announcement that has been logged.
    std::set<std::string> m_contradicted; ///< Servers of which an older state was ignored and logged.
    StorePosition m_position; ///< After the last change.
    EventBudget m_logBudget; ///< For single changes of servers.
    EventBudget m_countBudget; ///< For lines with the numbers of the other changes.
    bool m_isBulk = false; ///< The present change is one of many servers.
    ChangeCounts m_unlogged; ///< Changes that no line has told of yet.
    TimePoint m_delaysRemovalsUntil{};
    TimePoint m_holdsUntil{}; ///< Servers that were gone before this era are not used again before this time.
};

} // namespace turmericline
