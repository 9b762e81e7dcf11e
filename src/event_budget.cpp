#include "event_budget.h"

#include <algorithm>
#include <utility>

namespace turmericline {

bool EventBudget::take(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - std::exchange(m_updatedAt, now);
    m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace turmericline
