#pragma once

#include "time_type.h"

namespace turmericline {

/** Limits how often something is done: in a burst, and after it at a steady rate (token bucket). */
class EventBudget
{
public:
    /** @p perSecond: events a second after a burst of @p burst events. */
    EventBudget(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** Takes one event from the budget; returns false if there is none left. */
    bool take(TimePoint now);

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimePoint m_updatedAt{};
};

} // namespace turmericline
