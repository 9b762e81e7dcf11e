#include "crash_detector.h"

#include <algorithm>

namespace turmericline {

namespace {

/** Longer than a crashed server takes to lose its announcement or to start again. */
constexpr std::chrono::seconds evidenceWindow{15};
/** Bounds the memory; the oldest attempts give way. */
constexpr std::size_t maxUnanswered = 4'096;
/** Bounds the connections that probes add when a busy server leaves many attempts unanswered. */
constexpr std::chrono::seconds minProbePeriod{1};

/** Evidence that the announcements contain against @p server, if any. */
std::optional<EndEvidence> evidenceAgainst(const ServerIncarnation &server, const BackendTable &servers)
{
    const auto *current = servers.find(server.id);
    if (current == nullptr) {
        return EndEvidence::Withdrawn;
    }
    return current->record.startTimeMs != server.startTimeMs ? std::optional(EndEvidence::Restarted) : std::nullopt;
}

} // namespace

void CrashDetector::onUnanswered(TimePoint now, const ServerIncarnation &server, const Fingerprint &fingerprint)
{
    expire(now);
    if (m_unanswered.size() >= maxUnanswered) {
        m_unanswered.erase(m_unanswered.begin());
    }
    m_unanswered.push_back({server, fingerprint, now});
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

std::optional<ServerEnd> CrashDetector::onUnreachable(TimePoint now, const ServerIncarnation &server)
{
    expire(now);
    auto end = takeEnd(server, EndEvidence::Unreachable);
    return end.requests.empty() ? std::nullopt : std::optional(std::move(end));
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
            ends.push_back(takeEnd(server, *evidence));
        } else {
            ++i;
        }
    }
    return ends;
}

void CrashDetector::expire(TimePoint now)
{
    const auto fresh = std::find_if(m_unanswered.begin(), m_unanswered.end(), [now](const UnansweredAttempt &it) {
        return now - it.endedAt <= evidenceWindow;
    });
    m_unanswered.erase(m_unanswered.begin(), fresh);
}

ServerEnd CrashDetector::takeEnd(const ServerIncarnation &server, EndEvidence evidence)
{
    ServerEnd end{server, evidence, {}};
    std::erase_if(m_unanswered, [&](const UnansweredAttempt &it) {
        if (it.server != server) {
            return false;
        }
        if (std::find(end.requests.begin(), end.requests.end(), it.fingerprint) == end.requests.end()) {
            end.requests.push_back(it.fingerprint);
        }
        return true;
    });
    return end;
}

} // namespace turmericline
