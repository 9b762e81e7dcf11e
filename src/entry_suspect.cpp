#include "entry_call.h"

#include "suspect_codec.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::string_view refusalReason = "the request is suspected of crashing backend servers";
constexpr std::chrono::milliseconds retryAfterLeast{1'000};

} // namespace

std::shared_ptr<AgentPeer> EntryCall::isolationPeer(const std::vector<std::shared_ptr<AgentPeer>> &found) const
{
    const auto now = Clock::now();
    std::vector<std::shared_ptr<AgentPeer>> live;
    std::copy_if(found.begin(), found.end(), std::back_inserter(live), [now](const auto &it) {
        return now >= it->avoidUntil;
    });
    const auto &choices = live.empty() ? found : live;
    std::vector<std::string_view> names;
    names.reserve(choices.size());
    for (const auto &it : choices) {
        names.push_back(it->name);
    }
    const auto fingerprint = parseFingerprint(m_request.fingerprint).value_or(Fingerprint{});
    const auto i = isolationTarget(fingerprint, names);
    return i < choices.size() ? choices[i] : nullptr;
}

bool EntryCall::isRefusedSuspect() const
{
    return m_context.suspects.decide(m_request.fingerprint).action == SuspectAction::Refuse;
}

bool EntryCall::isSuspectRefusal(Verdict verdict) const
{
    // At the end of the hold time an agent's estimate of the crash may be some milliseconds later than this entry's.
    return isRefusedSuspect() || (verdict == Verdict::NotRun && m_status == 422);
}

void EntryCall::giveUpSuspect(Verdict verdict)
{
    const auto decision = m_context.suspects.decide(m_request.fingerprint);
    const auto after = std::max(std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter),
                                m_retryAfter.value_or(retryAfterLeast));
    giveUp({422, "suspected_of_crashing", std::string(refusalReason), verdict, after});
}

KeyedStep EntryCall::refuseKeyedSuspect()
{
    return m_keyed->refuse(refusalReason);
}

} // namespace turmericline
