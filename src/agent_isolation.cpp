#include "agent_isolation.h"

#include "log.h"
#include "suspect_codec.h"

#include <algorithm>

namespace turmericline {

namespace {

/** As in Exchange: a server that crashes as it begins an answer may have sent the first bytes of it. */
constexpr std::chrono::milliseconds soundAnswerTime{100};

/** From one probe to the next while a cancelled call may end the server. */
constexpr std::chrono::milliseconds abandonedProbePeriod{500};
/** Bounds what one crash adds if thousands of callers have left. */
constexpr std::size_t maxAbandonedPerCrash = 256;
/** A server may notice the deadline of a call so much later than this agent. */
constexpr std::chrono::milliseconds deadlineSlack{500};

bool hasGotOn(const AgentCall &call)
{
    return call.firstDataAt && call.lastDataAt - *call.firstDataAt >= soundAnswerTime;
}

void addParts(std::vector<PartInFlight> &found, const std::vector<Fingerprint> &parts, Age runTime)
{
    for (std::uint32_t n = 0; n < parts.size(); ++n) {
        const bool isKnown = std::ranges::any_of(found, [&part = parts[n]](const PartInFlight &it) {
            return it.part == part;
        });
        if (!isKnown) {
            found.push_back({parts[n], n, runTime});
        }
    }
}

/** Calls without a valid fingerprint share the zero fingerprint, which is never reported. */
Fingerprint fingerprintOf(const AgentCall &call)
{
    return parseFingerprint(call.fingerprint).value_or(Fingerprint{});
}

} // namespace

AgentIsolation::AgentIsolation(asio::io_context &io,
                               const AgentSettings &settings,
                               std::uint64_t incarnation,
                               SuspectSync &suspects,
                               AgentIsolationHandlers handlers)
    : m_settings(settings)
    , m_run(incarnation)
    , m_suspects(suspects)
    , m_handlers(std::move(handlers))
    , m_probe(io, settings.backendUrl)
    , m_abandonedProbe(io, settings.backendUrl)
{
}

void AgentIsolation::admit(const Call &call)
{
    call->isHeld = true;
    m_held.push_back(call);
    startHeldCalls();
}

void AgentIsolation::startHeldCalls()
{
    // No call starts during a probe: if the server has crashed, a new call would be counted as in flight at the crash.
    if (m_isStartingHeldCalls || m_probe.isRunning()) {
        return;
    }
    m_isStartingHeldCalls = true;
    for (std::size_t i = 0; i < m_held.size();) {
        const Call call = m_held[i];
        if (!tryStart(call)) {
            ++i;
        }
    }
    m_isStartingHeldCalls = false;
}

bool AgentIsolation::tryStart(const Call &call)
{
    const auto decision = m_suspects.decide(call->fingerprint, call->parts);
    if (decision.action == SuspectAction::Refuse) {
        call->retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(decision.retryAfter);
        call->refusalStatus = 422;
        m_handlers.refuse(call, std::string(suspectRefusalReason));
        return true;
    }
    if (AgentCall::Clock::now() >= call->deadline) {
        m_handlers.refuse(call, "deadline passed in the queue");
        return true;
    }
    if (!m_gate.tryStart(fingerprintOf(*call), decision.action == SuspectAction::RunAlone)) {
        return false;
    }
    std::erase(m_held, call);
    call->isHeld = false;
    call->backendRun = m_run;
    m_handlers.start(call);
    return true;
}

void AgentIsolation::end(const Call &call)
{
    if (call->isHeld) {
        call->isHeld = false;
        std::erase(m_held, call);
        m_gate.cancelWait(fingerprintOf(*call));
    } else if (call->isRunning) {
        m_gate.end(fingerprintOf(*call));
    }
}

void AgentIsolation::onConnectionBroken(const Call &call, const std::string &reason)
{
    if (call->backendRun != m_run) {
        m_handlers.fail(call, reason); // The crash that broke the connection is recorded already.
        return;
    }
    m_brokenCalls.push_back({call, reason});
    if (!m_probe.isRunning()) {
        m_probe.start([this](ProbeResult result) {
            onProbeDone(result == ProbeResult::Listening);
        });
    }
}

ServerIncarnation AgentIsolation::currentRun() const
{
    return {m_settings.server, static_cast<std::int64_t>(m_run), m_settings.domain};
}

void AgentIsolation::abandon(const Call &call)
{
    if (call->backendRun == m_run && !hasGotOn(*call)) {
        m_abandoned.add(currentRun(),
                        m_settings.backendUrl,
                        {fingerprintOf(*call), call->parts, call->startedAt, call->deadline + deadlineSlack});
    }
}

void AgentIsolation::onAlive(const Call &call)
{
    if (call->backendRun != m_run) {
        return;
    }
    for (const auto &it : m_abandoned.takeSurvived(currentRun(), AgentCall::Clock::now())) {
        m_suspects.recordSurvived(it.fingerprint, it.parts);
    }
}

void AgentIsolation::onUnreachable()
{
    if (m_abandoned.contains(currentRun()) && !m_abandonedProbe.isRunning()) {
        m_abandonedProbe.start([this, run = m_run](ProbeResult result) {
            onAbandonedProbeDone(run, result);
        });
    }
}

void AgentIsolation::tick()
{
    const auto now = AgentCall::Clock::now();
    if (now >= m_nextAbandonedProbeAt) {
        m_nextAbandonedProbeAt = now + abandonedProbePeriod;
        m_abandoned.expire(now - abandonedProbePeriod * 2);
        onUnreachable();
    }
}

void AgentIsolation::onAbandonedProbeDone(std::uint64_t run, ProbeResult result)
{
    // The broken calls have a probe of their own, which tells of the same end.
    if (result == ProbeResult::Refused && run == m_run && m_brokenCalls.empty()) {
        recordCrash();
    }
}

std::vector<Fingerprint> AgentIsolation::currentSuspects(std::span<const AbandonedAttempt> abandoned) const
{
    auto found = m_gate.inFlight();
    for (const auto &it : m_brokenCalls) {
        found.push_back(fingerprintOf(*it.call)); // The call may have been cancelled during the probe.
    }
    for (const auto &it : abandoned) {
        found.push_back(it.fingerprint);
    }
    std::ranges::sort(found, [](const auto &a, const auto &b) {
        return a < b;
    });
    found.erase(std::unique(found.begin(), found.end()), found.end());
    std::erase(found, Fingerprint{});
    return found;
}

/** Shared messages of the broken and the cancelled calls whose answers the server had not got on with. */
std::vector<PartInFlight> AgentIsolation::partsInFlight(std::span<const AbandonedAttempt> abandoned) const
{
    const auto runTime = [](AgentCall::Clock::time_point startedAt) {
        return std::chrono::duration_cast<Age>(AgentCall::Clock::now() - startedAt);
    };
    std::vector<PartInFlight> found;
    for (const auto &[call, reason] : m_brokenCalls) {
        if (!hasGotOn(*call)) {
            addParts(found, call->parts, runTime(call->startedAt));
        }
    }
    for (const auto &it : abandoned) {
        addParts(found, it.parts, runTime(it.startedAt));
    }
    return found;
}

void AgentIsolation::onProbeDone(bool isListening)
{
    // A server that has already been restarted listens again, but then all its connections broke at once. A single
    // broken connection to a listening server does not indicate a crash.
    const bool areAllConnectionsBroken = m_brokenCalls.size() > 1 && m_brokenCalls.size() >= m_gate.inFlight().size();
    if (!isListening || areAllConnectionsBroken) {
        recordCrash();
    }
    // The crash reports have been sent by now, before any caller learns that its call has failed and retries it.
    for (const auto &it : std::exchange(m_brokenCalls, {})) {
        m_handlers.fail(it.call, it.reason);
    }
    m_handlers.resume();
}

void AgentIsolation::recordCrash()
{
    auto abandoned = m_abandoned.takeStartedUntil(currentRun(), AgentCall::Clock::now());
    // Those that were sent last are the most likely cause.
    abandoned.resize(std::min(abandoned.size(), maxAbandonedPerCrash));
    const auto suspects = currentSuspects(abandoned);
    m_suspects.recordCrash(suspects, m_settings.server, m_run, m_settings.domain, partsInFlight(abandoned));
    ++m_run;
    logEvent(LogLevel::Warning,
             "backend server died",
             {{"broken", m_brokenCalls.size()},
              {"cancelled", abandoned.size()},
              {"suspected_fingerprints", suspects.size()}});
}

std::size_t AgentIsolation::heldCount() const
{
    return m_held.size();
}

} // namespace turmericline
