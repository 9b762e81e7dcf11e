#include "keyed_call.h"

#include "ticket.h"

namespace turmericline {

namespace {

/** One repetition covers a connection that broke during the call; more would only delay the answer to the caller. */
constexpr int maxSends = 2;

std::string_view bindingReasonText(Binding binding)
{
    switch (binding) {
    case Binding::Sealed:
        return "the key was given up before it was used";
    case Binding::TooRecent:
        return "the owner of the key has not owned it for long enough";
    case Binding::Stale:
        return "the call is too old for its key to be bound";
    case Binding::NotOwner:
        return "the owner of the key is not known yet";
    case Binding::Full:
        return "the owner of the key has no room for it";
    case Binding::Invalid:
        return "the owner of the key rejects the ticket";
    case Binding::Bound:
        break;
    }
    return {};
}

} // namespace

KeyedCall::KeyedCall(std::string_view key, std::chrono::steady_clock::time_point earliestArrival)
    : m_ticket(parseTicket(key))
    , m_kind(m_ticket ? KeyKind::Ticket : KeyKind::Plain)
    , m_earliestArrival(earliestArrival)
{
}

KeyKind KeyedCall::kind() const
{
    return m_kind;
}

KeyedStep KeyedCall::start()
{
    return send(m_ticket ? KeyedAction::Run : KeyedAction::Bind);
}

KeyedStep KeyedCall::refuse(std::string_view reason)
{
    m_isRefused = true;
    m_refusal = reason;
    return send(m_ticket ? KeyedAction::Seal : KeyedAction::SealUnbound);
}

KeyedStep KeyedCall::giveUp(std::string_view reason)
{
    return finish(Verdict::MayHaveRun, reason);
}

KeyedStep KeyedCall::onBind(const BindResult &result)
{
    switch (result.binding) {
    case Binding::Bound:
        m_ticket = parseTicket(result.ticket);
        if (!m_ticket) {
            return finish(Verdict::MayHaveRun, "the owner of the key gave no valid ticket");
        }
        return send(m_isRefused ? KeyedAction::Seal : KeyedAction::Run);
    case Binding::Stale:
        // The answer contains the owner's current age, so a second attempt of a recent call succeeds.
        return repeat(bindingReasonText(result.binding));
    default:
        return finish(result.verdict, m_isRefused ? m_refusal : bindingReasonText(result.binding));
    }
}

KeyedStep KeyedCall::onAnswer(Verdict verdict, std::string_view reason)
{
    return finish(verdict, m_isRefused && verdict == Verdict::NotRun ? m_refusal : reason);
}

KeyedStep KeyedCall::onLost()
{
    return repeat("no answer from the agent");
}

AgentAge KeyedCall::ownerAge(const AgentAge &lastKnown, std::chrono::steady_clock::time_point ageReceivedAt) const
{
    return {lastKnown.incarnation, tickLowerBound(lastKnown.tick, ageReceivedAt, m_earliestArrival)};
}

KeyedStep KeyedCall::send(KeyedAction action)
{
    m_action = action;
    m_sendCount = 1;
    return {action, m_ticket, Verdict::MayHaveRun, {}};
}

KeyedStep KeyedCall::repeat(std::string_view reason)
{
    if (m_action == KeyedAction::Finish || m_sendCount >= maxSends) {
        return finish(Verdict::MayHaveRun, reason);
    }
    ++m_sendCount;
    return {m_action, m_ticket, Verdict::MayHaveRun, {}};
}

KeyedStep KeyedCall::finish(Verdict verdict, std::string_view reason)
{
    m_action = KeyedAction::Finish;
    return {KeyedAction::Finish, std::nullopt, verdict, std::string(reason)};
}

} // namespace turmericline
