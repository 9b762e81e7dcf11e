#pragma once

#include "feed_relay_type.h"

#include <deque>
#include <map>
#include <string>

namespace turmericline {

/**
 * The announcements of the servers as a gateway has read them from the store, and its last changes, for gateways that
 * do not read them themselves. Does no I/O and does not read the clock.
 */
class FeedLog
{
public:
    /** @p id: random number that no other process has. */
    explicit FeedLog(std::uint64_t id);

    void apply(const StoreChange &change);

    /** Place after the last change. */
    FeedCursor end() const;
    /** Returns all changes after @p cursor, or all items if it is not known here. */
    StoreChange changesAfter(const FeedCursor &cursor) const;

private:
    struct Entry
    {
        std::uint64_t change = 0;
        std::string key;
    };

    void record(const std::string &key, const std::string *value);
    StoreItem itemOf(const std::string &key) const;

    std::uint64_t m_id;
    std::uint64_t m_lastChange = 0;
    StorePosition m_position;
    std::map<std::string, std::string> m_values; ///< By key.
    std::deque<Entry> m_entries; ///< The last changes, without gaps.
};

} // namespace turmericline
