#include "feed_order.h"

#include <utility>

namespace turmericline {

bool FeedOrder::isOlder(const StorePosition &position) const
{
    return position.era == m_position.era ? position.revision < m_position.revision : position.era < m_position.era;
}

bool FeedOrder::accept(StoreChange &change)
{
    if (!std::exchange(m_isStoreReplaced, false) && isOlder(change.position)) {
        return false;
    }
    const bool isNewEra = m_position.revision > 0 && m_position.era != change.position.era;
    change.replaced = isNewEra ? std::optional(m_position) : std::nullopt;
    m_position = change.position;
    return true;
}

void FeedOrder::onStoreReplaced()
{
    m_isStoreReplaced = true;
}

} // namespace turmericline
