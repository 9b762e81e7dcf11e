#pragma once

#include "backend_table.h"
#include "store_feed.h"

#include <map>
#include <set>
#include <string>

namespace turmericline {

/**
 * Keeps the table of backend servers in line with what they announce in the store.
 *
 * Announcements lapse while the store is away although their servers live. Removals seen shortly after its return are
 * therefore held back until the servers had time to announce themselves again.
 */
class BackendRegistry
{
public:
    BackendRegistry(const GatewayDialect &dialect, BackendTable &table);

    /** @p outage: how long the store could not be read before this change. */
    void apply(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage);
    /** Carries out the removals whose time has come. */
    void tick(TimePoint now);

private:
    void upsert(const StoreItem &item);
    void drop(TimePoint now, const std::string &key);

    const GatewayDialect &m_dialect;
    BackendTable &m_table;
    std::map<std::string, std::string> m_idOfKey;
    std::map<std::string, TimePoint> m_held; ///< Time of removal by key.
    std::set<std::string> m_rejected; ///< Keys whose announcement could not be read; logged once.
    TimePoint m_holdsUntil{};
};

} // namespace turmericline
