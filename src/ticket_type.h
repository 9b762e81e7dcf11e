#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>

namespace turmericline {

/** Time since the start of an agent, by its own monotonic clock. */
using Age = std::chrono::milliseconds;

/** A reading of an agent's own age; readings of different incarnations cannot be compared. */
struct AgentAge
{
    std::uint64_t incarnation = 0; ///< Random number drawn when the agent started.
    std::uint64_t tick = 0; ///< Whole seconds since then.

    friend bool operator==(const AgentAge &, const AgentAge &) = default;
};

/** Names one call and the only agent incarnation that may run it. */
struct Ticket
{
    std::string server; ///< Backend server whose agent may run the call.
    std::uint64_t incarnation = 0;
    std::uint64_t tick = 0; ///< The agent's age when the ticket was made, or less.
    std::array<std::uint8_t, 12> nonce{};

    friend bool operator==(const Ticket &, const Ticket &) = default;

    friend bool operator<(const Ticket &a, const Ticket &b)
    {
        return std::tie(a.server, a.incarnation, a.tick, a.nonce) < std::tie(b.server, b.incarnation, b.tick, b.nonce);
    }
};

} // namespace turmericline
