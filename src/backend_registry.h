#pragma once

#include "backend_table.h"
#include "store_feed.h"

#include <map>
#include <set>
#include <string>

namespace turmericline {

/**
 * Updates the table of backend servers from their announcements in the store.
 *
 * Announcements expire during an outage of the store although their servers are alive. Removals that are seen shortly
 * after an outage are therefore delayed until the servers have had time to announce themselves again.
 */
class BackendRegistry
{
public:
    BackendRegistry(const GatewayDialect &dialect, BackendTable &table);

    /** Applies @p change. @p outage is the time for which the store could not be read before it. */
    void apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage);
    /** Applies the delayed removals that are due. */
    void tick(TimePoint now);

private:
    void upsert(const StorePosition &position, const StoreItem &item);
    void removeOrDelay(TimePoint now, const std::string &key);

    const GatewayDialect &m_dialect;
    BackendTable &m_table;
    std::map<std::string, std::string> m_idOfKey;
    std::map<std::string, TimePoint> m_delayedRemovals; ///< Due time by key.
    std::set<std::string> m_rejected; ///< Keys with an invalid announcement that has been logged.
    TimePoint m_delaysRemovalsUntil{};
};

} // namespace turmericline
