#include "agent.h"

#include "agent_pool.h"
#include "ticket.h"
#include "verdict.h"
#include "wire.h"

#include <algorithm>

namespace turmericline {

void Agent::replay(H2ServerStream &stream, const Answer &answer)
{
    auto headers = standardHeaders();
    headers.insert(headers.end(), answer.headers.begin(), answer.headers.end());
    headers.emplace_back(wire::replayed, "1");
    stream.reply(answer.status, headers, answer.body, {{std::string(wire::verdict), "run"}});
}

bool Agent::admitKeyed(const Call &call)
{
    const auto reason = refusalReason();
    if (!m_ledger) {
        refuse(*call->stream, 503, Verdict::MayHaveRun, reason);
        return false;
    }
    const auto result = reason.empty() ? m_ledger->admit(call->workspace, *call->ticket, age())
                                       : m_ledger->seal(call->workspace, *call->ticket, age());
    if (result.admission == Admission::Admitted) {
        m_keyedCalls.emplace(*call->ticket, call);
        return true;
    }
    if (result.admission == Admission::Replay) {
        replay(*call->stream, *result.answer);
        return false;
    }
    const auto running = m_keyedCalls.find(*call->ticket);
    if (result.admission == Admission::InProgress && running != m_keyedCalls.end()) {
        running->second->waiters.push_back(call->stream);
        return false;
    }
    std::string why(nameOf(admissionNames, result.admission));
    if (!reason.empty()) {
        why += ": " + reason;
    }
    refuse(*call->stream, 503, result.verdict, why);
    return false;
}

void Agent::answerWaiters(const Call &call, Verdict verdict, const std::string &reason)
{
    for (const auto &it : call->waiters) {
        if (verdict == Verdict::Run) {
            replay(*it, call->answer);
        } else {
            refuse(*it, 503, verdict, reason);
        }
    }
    call->waiters.clear();
}

void Agent::handleSeal(H2ServerStream &stream)
{
    const auto ticket = parseTicket(stream.header(wire::key));
    if (!ticket || !m_ledger) {
        refuse(stream, ticket ? 503 : 400, Verdict::MayHaveRun, ticket ? refusalReason() : "invalid ticket");
        return;
    }
    const auto result = m_ledger->seal(stream.header(wire::workspace), *ticket, age());
    refuse(stream, 200, result.verdict, std::string(nameOf(admissionNames, result.admission)));
}

void Agent::handleBind(H2ServerStream &stream)
{
    const auto ownerAge = parseAgentAge(stream.header(wire::ownerAge));
    if (!ownerAge || !m_binder) {
        refuse(stream, ownerAge ? 503 : 400, Verdict::MayHaveRun, ownerAge ? refusalReason() : "invalid owner age");
        return;
    }
    const BindRequest request{
        stream.header(wire::workspace), stream.header(wire::service), stream.header(wire::key), *ownerAge};
    const auto proposed = stream.header(wire::ticket);
    const auto since = m_ownership.ownedSince(request);
    const auto result = proposed.empty() ? m_binder->sealUnbound(request, since, age())
                                         : m_binder->bind(request, proposed, since, age());
    auto headers = standardHeaders();
    if (result.binding == Binding::Bound) {
        headers.emplace_back(wire::ticket, result.ticket);
    }
    stream.reply(result.binding == Binding::Bound ? 200 : 409,
                 headers,
                 {},
                 {{std::string(wire::verdict), std::string(verdictName(result.verdict))},
                  {std::string(wire::reason), std::string(nameOf(bindingNames, result.binding))}});
}

void Agent::createLedger()
{
    if (m_ledger) {
        return;
    }
    LedgerSettings ledger;
    ledger.lifetime = m_document->keyLifetime;
    ledger.maxEntries = m_settings.ledgerEntries;
    m_ledger.emplace(m_settings.server, m_incarnation, ledger);
    KeyBinderSettings binder;
    binder.lifetime = m_document->keyLifetime;
    // A short key lifetime needs a smaller maximum delay as well; otherwise the waiting time after a start would be
    // many lifetimes long. Ages are sent in whole seconds, so a maximum below three seconds would refuse timely calls.
    constexpr int delayDivisor = 4;
    constexpr Age minDelay = std::chrono::seconds(3);
    binder.maxDelay = std::clamp(Age(binder.lifetime / delayDivisor), minDelay, binder.maxDelay);
    binder.maxEntries = m_settings.ledgerEntries;
    m_binder.emplace(m_incarnation, binder);
}

} // namespace turmericline
