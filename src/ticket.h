#pragma once

#include "ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Text form: `t1.<server>.<incarnation, 16 hex digits>.<tick>.<nonce, 24 hex digits>`. */
std::string formatTicket(const Ticket &ticket);

/** Reads the text form; anything that formatTicket() would not have written gives nothing. */
std::optional<Ticket> parseTicket(std::string_view text);

/** Returns a ticket with a fresh random nonce. */
Ticket makeTicket(std::string server, std::uint64_t incarnation, std::uint64_t tick);

/** Draws the number that tells one run of an agent from all others. */
std::uint64_t makeIncarnation();

/**
 * Returns the tick an agent had reached, at least, at the local time @p when, from a reading that was received at the
 * local time @p heardAt. Never above the agent's true age, so a ticket made with it is not refused as premature.
 */
std::uint64_t tickAt(std::uint64_t heardTick,
                     std::chrono::steady_clock::time_point heardAt,
                     std::chrono::steady_clock::time_point when);

} // namespace turmericline
