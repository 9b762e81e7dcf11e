#pragma once

#include "key_binder_type.h"
#include "ticket_type.h"
#include "verdict_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

enum class KeyKind {
    Ticket,
    Plain,
};

/** What an entry does next for a keyed call. */
enum class KeyedAction {
    Bind, ///< Ask the key's owner for its ticket, proposing a new one.
    SealUnbound, ///< Ask the key's owner to bind the key to nothing.
    Run, ///< Send the call to the server of the ticket.
    Seal, ///< Ask the server of the ticket to reject it from now on.
    Finish, ///< Report the verdict to the caller.
};

struct KeyedStep
{
    KeyedAction action = KeyedAction::Finish;
    std::optional<Ticket> ticket; ///< Set for KeyedAction::Run and KeyedAction::Seal.
    Verdict verdict = Verdict::MayHaveRun; ///< Meaningful for KeyedAction::Finish.
    std::string reason;
};

/**
 * The entry's side of one non-idempotent call with a key: which message to send next, given the answers so far, and
 * which verdict the caller gets. Not-run is reported only when the agent that owns the key or the ticket said so. All
 * messages may be repeated safely.
 */
class KeyedCall
{
public:
    /** @p earliestArrival is a lower bound for the time when the request was read, such as the previous tick. */
    KeyedCall(std::string_view key, std::chrono::steady_clock::time_point earliestArrival);

    KeyKind kind() const;

    /** First step of a call that the entry accepts. */
    KeyedStep start();

    /** The entry does not want to run the call: seals it, so that not-run can be reported. */
    KeyedStep refuse(std::string_view reason);

    /** Ends the call at once, for instance when its time is up. */
    KeyedStep giveUp(std::string_view reason);

    /** Answer to KeyedAction::Bind or KeyedAction::SealUnbound. */
    KeyedStep onBind(const BindResult &result);

    /** Answer to KeyedAction::Run or KeyedAction::Seal. */
    KeyedStep onAnswer(Verdict verdict, std::string_view reason);

    /** The last message or its answer was lost, or its receiver cannot be reached. */
    KeyedStep onLost();

    /** The owner's age to send with a bind, from its last known age and the local time when that was heard. */
    AgentAge ownerAge(const AgentAge &heard, std::chrono::steady_clock::time_point heardAt) const;

private:
    KeyedStep send(KeyedAction action);
    KeyedStep repeat(std::string_view reason);
    KeyedStep finish(Verdict verdict, std::string_view reason);

    std::optional<Ticket> m_ticket;
    KeyKind m_kind;
    std::chrono::steady_clock::time_point m_earliestArrival;
    KeyedAction m_action = KeyedAction::Finish;
    int m_sends = 0; ///< How often the present message has been sent.
    bool m_isRefused = false;
    std::string m_refusal;
};

} // namespace turmericline
