#pragma once

#include "name_table.h"
#include "ticket_type.h"
#include "verdict_type.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace turmericline {

/** Answer of a key's owner to a request to bind the key. */
enum class Binding {
    Bound, ///< The call runs under the ticket of the result, and under no other.
    Sealed, ///< The key was sealed before it was bound: no call with it was run and none will be.
    TooRecent, ///< The slot has not been owned for long enough; an earlier owner may have bound the key.
    Stale, ///< The message is too old to bind a key; it may be sent again if the call itself is recent.
    NotOwner, ///< Another server owns the slot under the document of this agent.
    Full, ///< The table of bindings is full.
    Invalid, ///< The proposed ticket is malformed.
};

inline constexpr std::array<NamedValue<Binding>, 7> bindingNames{{
    {Binding::Bound, "bound"},
    {Binding::Sealed, "sealed"},
    {Binding::TooRecent, "too-recent"},
    {Binding::Stale, "stale"},
    {Binding::NotOwner, "not-owner"},
    {Binding::Full, "full"},
    {Binding::Invalid, "invalid"},
}};

/** Request of an entry to bind or seal a plain key. */
struct BindRequest
{
    std::string_view workspace;
    std::string_view service;
    std::string_view key;
    /** Lower bound of the owner's age at the time when the call arrived at the entry; see tickLowerBound(). */
    AgentAge ownerAge;
};

struct BindResult
{
    Binding binding = Binding::NotOwner;
    Verdict verdict = Verdict::MayHaveRun; ///< For the caller, if the call ends here.
    std::string ticket; ///< Set for Binding::Bound only.
};

struct KeyBinderSettings
{
    Age lifetime{std::chrono::seconds(120)}; ///< W: all copies of a call arrive within W of the key's first use.
    Age maxDelay{std::chrono::seconds(15)}; ///< Longest time from a call's arrival at an entry until its key is bound.
    std::size_t maxEntries = 65536;
    std::size_t maxEntriesPerWorkspace = 16384;
};

} // namespace turmericline
