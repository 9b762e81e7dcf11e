#include "exchange.h"

namespace turmericline {

namespace {

/** If this many owners of limits have been asked for one request, it goes to servers without a limit only. */
constexpr std::uint32_t maxPermitsAsked = 3;
constexpr std::size_t maxLoggedDenials = 4;

} // namespace

/** Asks the admission once for each request; one that was admitted, or may have run, is not refused for its load later. */
bool Exchange::isAdmitted(TimePoint now)
{
    if (m_isAdmitted || m_isCommitted || m_mayHaveRun) {
        return true;
    }
    const auto &caller = m_request.caller;
    auto decision = m_context.admission.decide(now,
                                               {m_request.service,
                                                m_request.priority,
                                                m_request.rule->gapTarget,
                                                caller.promptTokens,
                                                caller.answerTokens,
                                                caller.maxAnswerTokens});
    m_isAdmitted = decision.isAdmitted;
    m_fullGroups = std::move(decision.fullGroups);
    m_urgentShare = decision.urgentShare;
    m_summary.admission = decision.basis;
    return m_isAdmitted;
}

std::chrono::milliseconds Exchange::waitTarget() const
{
    return m_context.admission.latencyTarget(m_request.service, m_request.priority, m_request.rule->latencyTarget);
}

/** Reports the pause between two events, which tells how long the passes of the server's group take. */
void Exchange::onEvent(TimePoint now)
{
    if (const auto last = std::exchange(m_lastEventAt, now)) {
        if (const auto *server = m_context.backends.find(m_server->id); server != nullptr) {
            m_context.admission.onPause(now, server->record.group, now - *last);
        }
    }
}

void Exchange::onReadingPaused()
{
    // The next pause would be that of the caller.
    m_lastEventAt.reset();
}

std::optional<BackendPick> Exchange::choose(TimePoint now)
{
    if (const auto server = std::exchange(m_preferredServer, std::nullopt)) {
        if (auto pick = m_context.backends.pick(now, *server, waitTarget())) {
            return pick;
        }
    }
    return chooseOther(now, m_excluded);
}

std::optional<BackendPick> Exchange::chooseOther(TimePoint now, std::span<const std::string> excluded) const
{
    return m_context.backends.choose(now,
                                     m_request.service,
                                     excluded,
                                     m_context.random,
                                     waitTarget(),
                                     {m_request.allowedDomains ? &*m_request.allowedDomains : nullptr, m_fullGroups});
}

/** Spends a slot of the server if it is cold. Without one, @p permit is returned and the server is left out. */
bool Exchange::takeColdStartSlot(TimePoint now, const ServerIncarnation &server, PermitVerdict permit)
{
    const auto decision = m_context.coldStart.take(now, server);
    m_hasColdSlot = decision.hasSlot;
    if (decision.isAllowed) {
        return true;
    }
    ++m_summary.coldDenials;
    if (permit == PermitVerdict::Granted) {
        m_context.limits.giveBack(now, server.id);
    }
    m_context.backends.onNoPermit(server, decision.until);
    m_excluded.push_back(server.id);
    return false;
}

/** Chooses a server, and spends a permit if it has a limit. Returns nothing if there is none, or a permit is asked for. */
std::optional<BackendPick> Exchange::chooseWithPermit(TimePoint now, ExchangeActions &actions)
{
    while (auto pick = choose(now)) {
        const auto decision = m_context.limits.take(now, pick->server);
        switch (decision.verdict) {
        case PermitVerdict::Unlimited:
        case PermitVerdict::Granted:
            if (takeColdStartSlot(now, pick->server, decision.verdict)) {
                m_hasPermit = decision.verdict == PermitVerdict::Granted;
                return pick;
            }
            break;
        case PermitVerdict::Denied:
            m_context.backends.onNoPermit(pick->server, decision.until);
            recordDenial(now, pick->server.id, decision.until);
            m_excluded.push_back(pick->server.id);
            break;
        case PermitVerdict::Ask:
            if (m_permitsAsked < maxPermitsAsked) {
                ++m_permitsAsked;
                m_awaitedServer = pick->server.id;
                actions.emplace_back(AskPermit{pick->server.id});
                return std::nullopt;
            }
            recordDenial(now, pick->server.id, now);
            m_excluded.push_back(pick->server.id);
            break;
        }
    }
    return std::nullopt;
}

void Exchange::recordDenial(TimePoint now, const std::string &server, TimePoint until)
{
    auto basis = m_context.limits.basis(now, server);
    if (basis && m_summary.limitDenials.size() < maxLoggedDenials) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(until - now);
        m_summary.limitDenials.push_back({server, std::move(*basis), wait});
    }
}

/** Whether a retry can be sent without a permit or a slot of a cold server; the failure of the server stands otherwise. */
bool Exchange::hasUnlimitedServer(TimePoint now) const
{
    auto excluded = m_excluded;
    while (true) {
        const auto pick = chooseOther(now, excluded);
        if (!pick) {
            return false;
        }
        const auto &id = pick->server.id;
        if (!m_context.limits.isLimited(id) && !m_context.coldStart.isCold(now, id)) {
            return true;
        }
        excluded.push_back(pick->server.id);
    }
}

ExchangeActions Exchange::onPermitAnswer(TimePoint now)
{
    ExchangeActions actions;
    if (!m_isEnded && m_awaitedServer) {
        m_preferredServer = std::exchange(m_awaitedServer, std::nullopt);
        attempt(now, actions);
    }
    return actions;
}

} // namespace turmericline
