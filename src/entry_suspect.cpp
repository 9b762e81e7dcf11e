#include "entry_call.h"

#include "suspect_codec.h"

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds minSuspectRetryAfter{1'000};

} // namespace

std::shared_ptr<AgentPeer> EntryCall::isolationPeer() const
{
    const auto names = m_context.selector.routable(Clock::now(), m_request.service, m_tried);
    const std::vector<std::string_view> views(names.begin(), names.end());
    const auto fingerprint = parseFingerprint(m_request.fingerprint).value_or(Fingerprint{});
    const auto i = isolationTarget(fingerprint, views);
    return i < names.size() ? m_context.agents.find(names[i]) : nullptr;
}

bool EntryCall::isRefusedSuspect() const
{
    return m_context.suspects.decide(m_request.fingerprint, m_request.parts).action == SuspectAction::Refuse;
}

bool EntryCall::isSuspectRefusal(Verdict verdict) const
{
    // Each process estimates the crash time by itself, and an agent's estimate may be some milliseconds later than this
    // entry's. So at the end of the hold time the agent may still refuse a request that this entry no longer suspects.
    return isRefusedSuspect() || (verdict == Verdict::NotRun && m_status == 422);
}

void EntryCall::refuseSuspect(Verdict verdict)
{
    const auto decision = m_context.suspects.decide(m_request.fingerprint, m_request.parts);
    const auto after = std::max(std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter),
                                m_retryAfter.value_or(minSuspectRetryAfter));
    giveUp({422, "suspected_of_crashing", std::string(suspectRefusalReason), verdict, after});
}

KeyedStep EntryCall::refuseKeyedSuspect()
{
    return m_keyed->refuse(suspectRefusalReason);
}

} // namespace turmericline
