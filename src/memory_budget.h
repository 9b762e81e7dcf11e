#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace turmericline {

/**
 * Bytes that one process may hold for its callers, all connections together. A part is kept for small holders, so that
 * ordinary callers are served while others send as much as they may.
 */
class MemoryBudget
{
public:
    /** Holders of up to this many bytes are small. */
    static constexpr std::size_t smallBytes = 64U << 10U;

    explicit MemoryBudget(std::size_t limitBytes);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::size_t used() const
    {
        return m_used;
    }

    std::size_t limit() const
    {
        return m_limit;
    }

private:
    friend class MemoryReservation;

    /** Limit for a holder of @p bytes in all. */
    std::size_t limitFor(std::size_t bytes) const;

    std::size_t m_limit;
    std::size_t m_used = 0;
};

/** Bytes that one holder has taken from a budget; gives them back when it ends. */
class MemoryReservation
{
public:
    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget)
        : m_budget(std::move(budget))
    {
    }
    ~MemoryReservation()
    {
        reset();
    }
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /** Sets the number of bytes held. Fails, and changes nothing, if they are more than before and the budget lacks them. */
    bool resize(std::size_t bytes);
    /** Sets the number of bytes held, also beyond the limit: for what can no longer be refused. */
    void set(std::size_t bytes);
    void reset()
    {
        set(0);
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<MemoryBudget>
        m_budget; ///< Shared, since pending handlers may hold a connection for longer than its owner.
    std::size_t m_bytes = 0;
};

} // namespace turmericline
