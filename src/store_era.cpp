#include "store_era.h"

#include <string>

namespace turmericline {

Result<bool> EraTracker::accept(std::optional<StoreEra> era)
{
    if (m_current && !era) {
        return Result<bool>::fail("the answer states no era, the current one is " + std::to_string(*m_current));
    }
    if (m_current && *era < *m_current) {
        return Result<bool>::fail("the answer is of era " + std::to_string(*era) + ", the current one is "
                                  + std::to_string(*m_current));
    }
    const bool isNew = m_hasAnswer && era != m_current;
    m_hasAnswer = true;
    m_current = era;
    return Result<bool>::ok(isNew);
}

} // namespace turmericline
