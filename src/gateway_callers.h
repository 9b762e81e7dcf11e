#pragma once

#include "caller_connection.h"
#include "event_budget.h"

#include <list>
#include <memory>

namespace turmericline {

/** Connections of a gateway's callers, and the memory that they may hold together. */
class GatewayCallers
{
public:
    explicit GatewayCallers(std::size_t memoryBytes);

    const std::shared_ptr<MemoryBudget> &budget() const
    {
        return m_budget;
    }

    const std::list<std::shared_ptr<CallerConnection>> &all() const
    {
        return m_connections;
    }

    /** Number of connections that were refused or closed to free memory or to make room. */
    std::uint64_t shedCount() const
    {
        return m_shed;
    }

    void add(std::shared_ptr<CallerConnection> connection);
    /** Closes a connection if there are @p maxConnections; returns false if none may be closed. */
    bool makeRoom(std::size_t maxConnections);
    /**
     * Refuses or closes connections that hold at least @p bytes together, if there are any, for one that needs
     * @p holderBytes in all.
     */
    void shed(TimePoint now, std::size_t bytes, std::size_t holderBytes);
    /** Checks the timeouts of all connections and removes the closed ones. */
    void tick(TimePoint now);

private:
    std::vector<CallerUsage> usages() const;
    void removeClosed();
    void logShed(TimePoint now, std::string_view reason, std::size_t count);

    std::shared_ptr<MemoryBudget> m_budget;
    std::list<std::shared_ptr<CallerConnection>> m_connections;
    EventBudget m_logBudget;
    std::uint64_t m_shed = 0;
    std::uint64_t m_unloggedShed = 0;
    TimePoint m_nextShedAt{}; ///< After an attempt that found nothing to close.
};

} // namespace turmericline
