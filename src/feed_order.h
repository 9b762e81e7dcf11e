#pragma once

#include "store_feed.h"

namespace turmericline {

/**
 * Puts the changes of several sources of one feed in order. A state contains all changes up to its revision, so one with
 * an earlier revision, or of an earlier era, adds nothing and is left out.
 */
class FeedOrder
{
public:
    /** Returns whether @p change is to be applied, and sets StoreChange::replaced if it begins a new era. */
    bool accept(StoreChange &change);

    /** Called if the next state is that of another store, whose eras cannot be compared with those of the former one. */
    void onStoreReplaced();

    /** State of the store after the last change that was accepted. */
    const StorePosition &position() const
    {
        return m_position;
    }

private:
    bool isOlder(const StorePosition &position) const;

    StorePosition m_position;
    bool m_isStoreReplaced = false;
};

} // namespace turmericline
