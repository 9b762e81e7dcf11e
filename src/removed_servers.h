#pragma once

#include "backend_table.h"
#include "store_era.h"

#include <map>
#include <optional>
#include <string>

namespace turmericline {

/** A backend server whose announcement was removed. */
struct RemovedServer
{
    BackendRecord record; ///< Its last announcement.
    std::optional<StoreEra> era; ///< In which it was removed.
    TimePoint removedAt{};
};

/** Remembers servers for a while after their announcements were removed, as an older state of the store still has them. */
class RemovedServers
{
public:
    void add(TimePoint now, const BackendRecord &record, std::optional<StoreEra> era);
    const RemovedServer *find(const std::string &id) const;
    void erase(const std::string &id);
    void expire(TimePoint now);

private:
    std::map<std::string, RemovedServer> m_servers; ///< By id.
};

/** Whether both are announcements of the same run of a server. Announcements that state no start have one run for each id. */
bool isSameIncarnation(const BackendRecord &a, const BackendRecord &b);
/** Whether @p a is an announcement of an earlier run than @p b. */
bool isEarlierIncarnation(const BackendRecord &a, const BackendRecord &b);

} // namespace turmericline
