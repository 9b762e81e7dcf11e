#include "memory_budget.h"

namespace turmericline {

namespace {

/** Part of the budget that only small holders may use. */
constexpr std::size_t smallHoldersDivisor = 4;

} // namespace

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

std::size_t MemoryBudget::limitFor(std::size_t bytes) const
{
    return bytes <= smallBytes ? m_limit : m_limit - m_limit / smallHoldersDivisor;
}

bool MemoryReservation::resize(std::size_t bytes)
{
    if (bytes > m_bytes && m_budget->m_used - m_bytes + bytes > m_budget->limitFor(bytes)) {
        return false;
    }
    set(bytes);
    return true;
}

void MemoryReservation::set(std::size_t bytes)
{
    m_budget->m_used -= std::exchange(m_bytes, bytes);
    m_budget->m_used += bytes;
}

} // namespace turmericline
