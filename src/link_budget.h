#pragma once

#include <chrono>
#include <cstddef>

namespace turmericline {

/**
 * Bandwidth of the link of an instance, from which the rates of periodic messages and the timeouts of large ones
 * follow. Periodic messages may use a share of it, so that orders and calls to the store are not delayed.
 */
class LinkBudget
{
public:
    /** @p megabits: bandwidth in Mbit/s; 0 if it is unlimited. */
    explicit LinkBudget(double megabits);

    /** Returns the time that @p bytes take on the link if nothing else is sent. */
    std::chrono::milliseconds transferTime(std::size_t bytes) const;

    /** Returns the shortest period of messages of @p bytes in sum that use at most @p share of the link. */
    std::chrono::milliseconds period(std::size_t bytes, double share) const;

    bool operator==(const LinkBudget &) const = default;

private:
    double m_bytesPerSecond;
};

} // namespace turmericline
