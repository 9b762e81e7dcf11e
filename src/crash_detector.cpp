#include "crash_detector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericline {

namespace {

/** Longer than a crashed server takes to lose its announcement or to start again. */
constexpr std::chrono::seconds evidenceWindow{15};
/** Bounds the memory; the oldest attempts give way. */
constexpr std::size_t maxUnanswered = 4'096;
/** Bounds the connections that probes add when a busy server leaves many attempts unanswered. */
constexpr std::chrono::seconds minProbePeriod{1};

/** Bounds the memory of servers that have ended; the oldest give way. */
constexpr std::size_t maxRecentEnds = 1'024;
/** Attempts that ended this much before the last one on a server failed for another reason, such as a stalled group. */
constexpr std::chrono::seconds sameCauseTime{2};
/** Bounds the messages about one server. */
constexpr std::size_t maxPartsPerEnd = 256;
/** Bounds what one end adds if thousands of callers have left; those that were sent last are the most likely cause. */
constexpr std::size_t maxAbandonedPerEnd = 1'024;
/** Bounds the memory between two calls of takeSurvived(). */
constexpr std::size_t maxSurvived = 4'096;

/** Evidence that the announcements contain against @p server, if any. */
std::optional<EndEvidence> evidenceAgainst(const ServerIncarnation &server, const BackendTable &servers)
{
    const auto *current = servers.find(server.id);
    if (current == nullptr) {
        return EndEvidence::Withdrawn;
    }
    return current->record.startTimeMs != server.startTimeMs ? std::optional(EndEvidence::Restarted) : std::nullopt;
}

void addParts(std::vector<PartInFlight> &parts, const std::vector<Fingerprint> &more, Age runTime)
{
    for (std::uint32_t n = 0; n < more.size(); ++n) {
        const auto known = std::find_if(parts.begin(), parts.end(), [&](const PartInFlight &it) {
            return it.part == more[n];
        });
        if (known != parts.end()) {
            known->runTime = std::min(known->runTime, runTime);
        } else if (parts.size() < maxPartsPerEnd) {
            parts.push_back({more[n], n, runTime});
        }
    }
}

} // namespace

void CrashDetector::onUnanswered(TimePoint now,
                                 const ServerIncarnation &server,
                                 const Fingerprint &fingerprint,
                                 std::span<const Fingerprint> parts,
                                 TimePoint startedAt,
                                 TimePoint deadline)
{
    expire(now);
    if (m_unanswered.size() >= maxUnanswered) {
        m_unanswered.erase(m_unanswered.begin());
    }
    m_unanswered.push_back({server, fingerprint, {parts.begin(), parts.end()}, startedAt, now, deadline});
    addToProbe(server);
}

void CrashDetector::onAbandoned(const ServerIncarnation &server, const std::string &address, AbandonedAttempt attempt)
{
    m_abandoned.add(server, address, std::move(attempt));
}

void CrashDetector::onUnreachable(const ServerIncarnation &server)
{
    if (m_abandoned.contains(server)) {
        addToProbe(server);
    }
}

void CrashDetector::addToProbe(const ServerIncarnation &server)
{
    if (std::find(m_toProbe.begin(), m_toProbe.end(), server) == m_toProbe.end()) {
        m_toProbe.push_back(server);
    }
}

std::vector<ServerIncarnation> CrashDetector::takeServersToProbe(TimePoint now)
{
    std::erase_if(m_probedAt, [now](const auto &it) {
        return now - it.second >= minProbePeriod;
    });
    std::vector<ServerIncarnation> due;
    std::erase_if(m_toProbe, [&](const ServerIncarnation &it) {
        const bool isDue = m_probedAt.emplace(it.id, now).second;
        if (isDue) {
            due.push_back(it);
        }
        return isDue;
    });
    return due;
}

std::optional<ServerEnd> CrashDetector::onProbed(TimePoint now, const ServerIncarnation &server, ProbeResult result)
{
    expire(now);
    if (result == ProbeResult::Listening) {
        if (m_abandoned.isWithdrawn(server)) {
            m_abandoned.forget(server);
        }
        onAlive(now, server);
        return std::nullopt;
    }
    const auto evidence = result == ProbeResult::Refused ? EndEvidence::Unreachable : EndEvidence::Silent;
    auto end = takeEnd(now, server, evidence);
    return end.requests.empty() && end.parts.empty() ? std::nullopt : std::optional(std::move(end));
}

std::vector<ServerEnd> CrashDetector::checkAnnouncements(TimePoint now, const BackendTable &servers)
{
    expire(now);
    // A server that announced that it leaves ends for that reason.
    std::erase_if(m_unanswered, [&servers](const UnansweredAttempt &it) {
        const auto *current = servers.find(it.server.id);
        return current != nullptr && current->record.isLeaving;
    });
    std::vector<ServerEnd> ends;
    for (std::size_t i = 0; i < m_unanswered.size();) {
        const auto server = m_unanswered[i].server;
        if (const auto evidence = evidenceAgainst(server, servers)) {
            ends.push_back(takeEnd(now, server, *evidence));
        } else {
            ++i;
        }
    }
    checkAbandoned(now, servers, ends);
    return ends;
}

/**
 * A server that only lost its announcement may leave as planned and serve for a while, so abandoned attempts alone do not
 * make that an end. It is probed.
 */
void CrashDetector::checkAbandoned(TimePoint now, const BackendTable &servers, std::vector<ServerEnd> &ends)
{
    for (const auto *it : m_abandoned.servers()) {
        const auto *current = servers.find(it->id);
        const auto evidence = evidenceAgainst(*it, servers);
        if (current != nullptr && !evidence && current->record.isLeaving) {
            m_abandoned.forget(ServerIncarnation(*it));
        } else if (evidence == EndEvidence::Restarted) {
            ends.push_back(takeEnd(now, ServerIncarnation(*it), *evidence));
        } else if (evidence && m_abandoned.setWithdrawn(*it)) {
            addToProbe(*it);
        }
    }
}

void CrashDetector::expire(TimePoint now)
{
    const auto fresh = std::find_if(m_unanswered.begin(), m_unanswered.end(), [now](const UnansweredAttempt &it) {
        return now - it.endedAt <= evidenceWindow;
    });
    m_unanswered.erase(m_unanswered.begin(), fresh);
    std::erase_if(m_ended, [now](const RecentEnd &it) {
        return now - it.at > 2 * evidenceWindow;
    });
    m_abandoned.expire(now - evidenceWindow);
}

ServerEnd CrashDetector::takeEnd(TimePoint now, const ServerIncarnation &server, EndEvidence evidence)
{
    const bool isFirm = evidence != EndEvidence::Silent;
    ServerEnd end{server, evidence, {}, {}, {}};
    const auto knownEnd = endOf(server);
    if (const auto attempts = attemptsWithSameCause(server); isFirm && !attempts.empty()) {
        end.at = attempts.front()->endedAt;
        for (const auto *it : attempts) {
            if (!knownEnd || it->startedAt <= *knownEnd) {
                addParts(end.parts, it->parts, std::chrono::duration_cast<Age>(it->endedAt - it->startedAt));
            }
        }
        onEndReported(server.id, server.startTimeMs, end.at);
    } else if (isFirm && m_abandoned.contains(server)) {
        end.at = knownEnd.value_or(now);
        onEndReported(server.id, server.startTimeMs, end.at);
    }
    std::erase_if(m_unanswered, [&](UnansweredAttempt &it) {
        if (it.server != server) {
            return false;
        }
        const bool isLater = knownEnd && it.startedAt > *knownEnd;
        if (!std::exchange(it.isReported, true) && !isLater
            && std::find(end.requests.begin(), end.requests.end(), it.fingerprint) == end.requests.end()) {
            end.requests.push_back(it.fingerprint);
        }
        // Firm evidence may follow.
        return isFirm || it.parts.empty();
    });
    if (isFirm) {
        addAbandoned(end, knownEnd.value_or(now));
    }
    return end;
}

/** Adds the abandoned attempts that were sent no later than @p until. */
void CrashDetector::addAbandoned(ServerEnd &end, TimePoint until)
{
    std::set<Fingerprint> known(end.requests.begin(), end.requests.end());
    for (const auto &it : m_abandoned.takeStartedUntil(end.server, until)) {
        const bool hasRoom = end.abandonedRequests < maxAbandonedPerEnd;
        if (hasRoom && known.insert(it.fingerprint).second) {
            end.requests.push_back(it.fingerprint);
            ++end.abandonedRequests;
        }
        if (hasRoom) {
            addParts(
                end.parts, it.parts, std::max(std::chrono::duration_cast<Age>(end.at - it.startedAt), Age::zero()));
        }
    }
}

/** The last attempts that the server left unanswered, oldest first. */
std::vector<const CrashDetector::UnansweredAttempt *>
CrashDetector::attemptsWithSameCause(const ServerIncarnation &server) const
{
    std::vector<const UnansweredAttempt *> found;
    for (const auto &it : m_unanswered) {
        if (it.server == server) {
            found.push_back(&it);
        }
    }
    const auto last = found.empty() ? TimePoint{} : found.back()->endedAt;
    std::erase_if(found, [last](const UnansweredAttempt *it) {
        return last - it->endedAt > sameCauseTime;
    });
    return found;
}

void CrashDetector::onEndReported(std::string_view server, std::int64_t startTimeMs, TimePoint at)
{
    const bool isKnown = std::any_of(m_ended.begin(), m_ended.end(), [&](const RecentEnd &it) {
        return it.server == server && it.startTimeMs == startTimeMs;
    });
    if (isKnown) {
        return;
    }
    if (m_ended.size() >= maxRecentEnds) {
        m_ended.erase(m_ended.begin());
    }
    m_ended.push_back({std::string(server), startTimeMs, at});
}

std::optional<ServerEnd> CrashDetector::takeReportedEnd(std::string_view server, std::int64_t startTimeMs)
{
    ServerEnd end{{std::string(server), startTimeMs, {}}, EndEvidence::Reported, {}, {}, {}};
    const auto at = endOf(end.server);
    if (!at || !m_abandoned.contains(end.server)) {
        return std::nullopt;
    }
    end.at = *at;
    end.server.domain = m_abandoned.domainOf(end.server);
    addAbandoned(end, end.at);
    return end.requests.empty() ? std::nullopt : std::optional(std::move(end));
}

void CrashDetector::onAnswered(TimePoint now, const ServerIncarnation &server)
{
    std::erase_if(m_ended, [&server](const RecentEnd &it) {
        return it.server == server.id && it.startTimeMs == server.startTimeMs;
    });
    onAlive(now, server);
}

/** Requests whose time was over before @p now have not ended the server. */
void CrashDetector::onAlive(TimePoint now, const ServerIncarnation &server)
{
    std::erase_if(m_unanswered, [&](const UnansweredAttempt &it) {
        return it.deadline < now && it.server == server;
    });
    for (auto &it : m_abandoned.takeSurvived(server, now)) {
        if (m_survived.size() < maxSurvived) {
            m_survived.push_back(std::move(it));
        }
    }
}

std::vector<AbandonedAttempt> CrashDetector::takeSurvived()
{
    return std::exchange(m_survived, {});
}

std::optional<TimePoint> CrashDetector::endOf(const ServerIncarnation &server) const
{
    const auto it = std::find_if(m_ended.begin(), m_ended.end(), [&server](const RecentEnd &end) {
        return end.server == server.id && end.startTimeMs == server.startTimeMs;
    });
    return it == m_ended.end() ? std::nullopt : std::optional(it->at);
}

} // namespace turmericline
