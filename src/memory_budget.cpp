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
    const auto others = m_budget.m_used - m_bytes;
    if (bytes > m_bytes && others + bytes > m_budget.limitFor(bytes)) {
        return false;
    }
    m_budget.m_used = others + bytes;
    m_bytes = bytes;
    return true;
}

} // namespace turmericline
