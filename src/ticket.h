#pragma once

#include "ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Text form: `t1.<server>.<incarnation, 16 hex digits>.<tick>.<nonce, 24 hex digits>`. */
std::string formatTicket(const Ticket &ticket);

/** Parses the text form; returns nothing for any text that formatTicket() cannot produce. */
std::optional<Ticket> parseTicket(std::string_view text);

/** Returns a ticket with a fresh random nonce. */
Ticket makeTicket(std::string server, std::uint64_t incarnation, std::uint64_t tick);

/** Returns a random number that distinguishes one run of an agent from all others. */
std::uint64_t makeIncarnation();

/**
 * Returns a lower bound for an agent's tick at the local time @p when, from a tick that was received at the local time
 * @p ageReceivedAt. It never exceeds the agent's true age, so a ticket made with it is not refused as from the future.
 */
std::uint64_t tickLowerBound(std::uint64_t reportedTick,
                             std::chrono::steady_clock::time_point ageReceivedAt,
                             std::chrono::steady_clock::time_point when);

} // namespace turmericline
