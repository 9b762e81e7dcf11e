#pragma once

#include "key_binder_type.h"
#include "ticket_type.h"
#include "verdict_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Form of an idempotency key. */
enum class KeyKind {
    Ticket,
    Plain,
};

/** What an entry does next for a keyed call. */
enum class KeyedAction {
    Bind, ///< Ask the key's owner for its ticket, proposing a new one.
    SealUnbound, ///< Ask the key's owner to seal the key unless it is bound.
    Run, ///< Send the call to the agent of the ticket's server.
    Seal, ///< Ask the agent of the ticket's server to reject the ticket from now on.
    Finish, ///< Report the verdict to the caller.
};

/** Next action of a keyed call, with its arguments. */
struct KeyedStep
{
    KeyedAction action = KeyedAction::Finish;
    std::optional<Ticket> ticket; ///< Set for KeyedAction::Run and KeyedAction::Seal.
    Verdict verdict = Verdict::MayHaveRun; ///< Meaningful for KeyedAction::Finish.
    std::string reason;
};

/**
 * State machine of an entry for one non-idempotent call with a key: decides which message to send next, given the
 * answers so far, and which verdict the caller gets. Reports not-run only if the agent that owns the key or the ticket
 * has confirmed it. All messages are idempotent.
 */
class KeyedCall
{
public:
    /** @p earliestArrival is a lower bound for the time when the request was read, such as the previous tick. */
    KeyedCall(std::string_view key, std::chrono::steady_clock::time_point earliestArrival);

    KeyKind kind() const;

    /** First step of a call that the entry accepts. */
    KeyedStep start();

    /** Seals the call instead of running it, so that not-run can be reported. */
    KeyedStep refuse(std::string_view reason);

    /** Ends the call at once with may-have-run, for instance if no owner of the key is known. */
    KeyedStep giveUp(std::string_view reason);

    /** Answer to KeyedAction::Bind or KeyedAction::SealUnbound. */
    KeyedStep onBind(const BindResult &result);

    /** Answer to KeyedAction::Run or KeyedAction::Seal. */
    KeyedStep onAnswer(Verdict verdict, std::string_view reason);

    /** To be called when the last message or its answer was lost, or its receiver cannot be reached. */
    KeyedStep onLost();

    /** Returns the owner's age to send with a bind, from its last known age and the local time of that report. */
    AgentAge ownerAge(const AgentAge &lastKnown, std::chrono::steady_clock::time_point ageReceivedAt) const;

private:
    KeyedStep send(KeyedAction action);
    KeyedStep repeat(std::string_view reason);
    KeyedStep finish(Verdict verdict, std::string_view reason);

    std::optional<Ticket> m_ticket;
    KeyKind m_kind;
    std::chrono::steady_clock::time_point m_earliestArrival;
    KeyedAction m_action = KeyedAction::Finish;
    int m_sendCount = 0; ///< How often the current message has been sent.
    bool m_isRefused = false;
    std::string m_refusal;
};

} // namespace turmericline
