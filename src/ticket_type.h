#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace turmericline {

/** Time since the start of an agent, by its own monotonic clock. */
using Age = std::chrono::milliseconds;

/** Age of an agent as reported by itself; ages of different incarnations are not comparable. */
struct AgentAge
{
    std::uint64_t incarnation = 0; ///< Random number drawn when the agent started.
    std::uint64_t tick = 0; ///< Whole seconds since the agent started.

    friend bool operator==(const AgentAge &, const AgentAge &) = default;
};

/** Identifies one call and the only agent incarnation that may run it. */
struct Ticket
{
    std::string server; ///< Backend server whose agent may run the call.
    std::uint64_t incarnation = 0;
    std::uint64_t tick = 0; ///< Lower bound of the agent's age when the ticket was made.
    std::array<std::uint8_t, 12> nonce{};

    friend bool operator==(const Ticket &, const Ticket &) = default;

    friend bool operator<(const Ticket &a, const Ticket &b)
    {
        return std::tie(a.server, a.incarnation, a.tick, a.nonce) < std::tie(b.server, b.incarnation, b.tick, b.nonce);
    }
};

} // namespace turmericline
