#pragma once

#include "verdict_type.h"

#include <cstdint>
#include <optional>

namespace turmericline {

/** Number of a history of the store; higher after the store has lost changes that it had acknowledged. */
using StoreEra = std::uint64_t;

/** State of the store. Revisions of different eras are not comparable. */
struct StorePosition
{
    std::optional<StoreEra> era; ///< Nothing if the store does not state eras.
    std::uint64_t revision = 0;

    bool operator==(const StorePosition &) const = default;
};

/** Tracks the era of the store's answers. */
class EraTracker
{
public:
    /**
     * Accepts an answer that states @p era, and returns whether a new era has begun with it. Fails if the answer is of an
     * earlier era, or if it states no era although earlier ones did; such answers must not be used.
     */
    Result<bool> accept(std::optional<StoreEra> era);

    std::optional<StoreEra> current() const
    {
        return m_current;
    }

private:
    bool m_hasAnswer = false;
    std::optional<StoreEra> m_current;
};

} // namespace turmericline
