#include "suspect.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

namespace turmericline {

namespace {

struct StateDeleter
{
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/** Hashes the length before the text, so that parts with the same concatenation give different hashes. */
void hashPart(XXH3_state_t *state, std::string_view part)
{
    const std::uint64_t n = part.size();
    XXH3_128bits_update(state, &n, sizeof n);
    XXH3_128bits_update(state, part.data(), part.size());
}

/** Bounds the memory of servers that have ended; the oldest reports give way. */
constexpr std::size_t maxEnds = 1'024;

std::uint64_t rank(const Fingerprint &fingerprint, std::string_view server)
{
    return XXH3_64bits_withSeed(server.data(), server.size(), fingerprint.high ^ fingerprint.low);
}

} // namespace

Fingerprint fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const auto part : {workspace, target, body}) {
        hashPart(state.get(), part);
    }
    const auto digest = XXH3_128bits_digest(state.get());
    return {digest.high64, digest.low64};
}

Fingerprint partFingerprint(std::string_view service, std::uint64_t partId)
{
    return {XXH3_64bits(service.data(), service.size()), partId};
}

SuspectTable::SuspectTable(SuspectSettings settings)
    : m_settings(settings)
    , m_history(settings.maxHistory)
{
}

void SuspectTable::recordCrash(const std::vector<Fingerprint> &inFlight,
                               std::string_view server,
                               std::uint64_t incarnation,
                               std::string_view domain,
                               Age now)
{
    for (const auto &it : inFlight) {
        merge({it, std::string(server), incarnation, std::string(domain), Age::zero(), false}, now);
    }
}

bool SuspectTable::merge(const CrashReport &report, Age now)
{
    auto it = m_suspects.find(report.fingerprint);
    if (it == m_suspects.end()) {
        // A first report that is older than the hold time has no effect and would only use memory.
        if (report.age >= m_settings.hold || !makeRoom(now)) {
            return false;
        }
        it = m_suspects.emplace(report.fingerprint, Crashes{}).first;
    }
    Crash crash{report.server, report.incarnation, report.domain, now - report.age, report.isCleared, 0};
    recordEnd(crash);
    const bool isNew = insert(it->second, std::move(crash), now);
    clearSurvived(report.fingerprint, it->second);
    return isNew;
}

void SuspectTable::recordEnd(const Crash &crash)
{
    const bool isKnown = std::any_of(m_ends.rbegin(), m_ends.rend(), [&crash](const End &it) {
        return it.server == crash.server && it.incarnation == crash.incarnation;
    });
    if (isKnown || m_settings.commonCauseTime == Age::zero()) {
        return;
    }
    if (m_ends.size() >= maxEnds) {
        m_ends.pop_front();
    }
    m_ends.push_back({crash.server, crash.incarnation, crash.when});
}

bool SuspectTable::recordSurvived(const Fingerprint &fingerprint)
{
    const auto begin = XXH3_64bits_withSeed(&fingerprint, sizeof fingerprint, m_settings.survivedSeed);
    const auto n = m_history.contains(fingerprint) ? m_history.find(fingerprint).survived
                                                   : static_cast<std::uint32_t>(begin % m_settings.survivedPerCrash);
    m_history.setSurvived(fingerprint, std::min(n + 1, m_settings.maxSurvived));
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && clearSurvived(fingerprint, it->second);
}

/** Clears the oldest crashes of a fingerprint for the attempts that servers have outlived. */
bool SuspectTable::clearSurvived(const Fingerprint &fingerprint, Crashes &crashes)
{
    bool hasCleared = false;
    auto n = m_history.find(fingerprint).survived;
    while (n >= m_settings.survivedPerCrash) {
        Crash *oldest = nullptr;
        for (auto &it : crashes) {
            if (!it.isCleared && (oldest == nullptr || it.when < oldest->when)) {
                oldest = &it;
            }
        }
        if (oldest == nullptr) {
            break;
        }
        oldest->isCleared = true;
        oldest->sends = 0;
        n -= m_settings.survivedPerCrash;
        m_history.setSurvived(fingerprint, n);
        hasCleared = true;
    }
    return hasCleared;
}

bool SuspectTable::isKnown(const Fingerprint &fingerprint) const
{
    return m_suspects.contains(fingerprint);
}

bool SuspectTable::insert(Crashes &crashes, Crash crash, Age now) const
{
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const Crash &it) {
        return it.server == crash.server && it.incarnation == crash.incarnation;
    });
    if (known != crashes.end()) {
        return mergeEstimate(*known, crash);
    }
    if (crashes.size() >= m_settings.maxReportsPerFingerprint) {
        const auto active = activeCrashes(crashes, now);
        const auto inactive = std::find_if(crashes.begin(), crashes.end(), [&](const Crash &it) {
            return std::find(active.begin(), active.end(), &it) == active.end();
        });
        if (inactive == crashes.end()) {
            return false;
        }
        crashes.erase(inactive);
    }
    crashes.push_back(std::move(crash));
    return true;
}

bool SuspectTable::mergeEstimate(Crash &known, const Crash &received)
{
    // Transmission delays make a crash appear later than it was, so the earliest estimate is the most accurate one.
    // Using it also prevents reports that circulate between processes from prolonging a suspicion.
    known.when = std::min(known.when, received.when);
    if (received.isCleared && !known.isCleared) {
        known.isCleared = true;
        known.sends = 0;
        return true;
    }
    return false;
}

std::vector<const SuspectTable::Crash *> SuspectTable::activeCrashes(const Crashes &crashes, Age now) const
{
    std::vector<const Crash *> found;
    for (const auto &it : crashes) {
        if (!it.isCleared) {
            found.push_back(&it);
        }
    }
    std::sort(found.begin(), found.end(), [](const Crash *a, const Crash *b) {
        return a->when > b->when;
    });
    // Crashes are counted together as long as the time between successive ones is below the hold time.
    auto last = now;
    const auto end = std::find_if(found.begin(), found.end(), [&](const Crash *it) {
        const bool isSeparate = last - it->when >= m_settings.hold;
        last = it->when;
        return isSeparate;
    });
    found.erase(end, found.end());
    return found;
}

/** Servers other than those of @p crashes that ended at about the same time. */
std::size_t SuspectTable::otherEnds(std::span<const Crash *const> crashes) const
{
    const auto last = crashes.front()->when + m_settings.commonCauseTime;
    const auto first = crashes.back()->when - m_settings.commonCauseTime;
    const auto n = std::count_if(m_ends.begin(), m_ends.end(), [&](const End &it) {
        return it.when >= first && it.when <= last;
    });
    return static_cast<std::size_t>(n) - std::min(static_cast<std::size_t>(n), crashes.size());
}

/** Of crashes at the same time, @p active has the last one first; only that one is kept if they have a common cause. */
std::vector<const SuspectTable::Crash *> SuspectTable::independentCrashes(std::vector<const Crash *> active) const
{
    std::vector<const Crash *> kept;
    for (std::size_t begin = 0; begin < active.size();) {
        std::size_t end = begin + 1;
        while (end < active.size() && active[begin]->when - active[end]->when < m_settings.commonCauseTime) {
            ++end;
        }
        const std::span crashes(active.data() + begin, end - begin);
        const bool haveCommonCause = crashes.size() > 1 && otherEnds(crashes) >= crashes.size();
        kept.insert(kept.end(), crashes.begin(), haveCommonCause ? crashes.begin() + 1 : crashes.end());
        begin = end;
    }
    return kept;
}

/** Whether servers have outlived attempts with the fingerprint, here or at a process that has cleared a crash for it. */
bool SuspectTable::isOutlived(const Fingerprint &fingerprint, const Crashes &crashes) const
{
    return m_history.contains(fingerprint) || std::any_of(crashes.begin(), crashes.end(), [](const Crash &it) {
               return it.isCleared;
           });
}

/** Whether a request that no server was seen to outlive, and that would be refused, was in flight at this crash. */
bool SuspectTable::isExplained(const Crash &crash, Age now) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &suspect) {
        const auto &[fingerprint, crashes] = suspect;
        const bool hasCrash = std::any_of(crashes.begin(), crashes.end(), [&crash](const Crash &it) {
            return it.server == crash.server && it.incarnation == crash.incarnation;
        });
        return crashes.size() >= m_settings.totalLimit && hasCrash && !isOutlived(fingerprint, crashes)
               && activeCrashes(crashes, now).size() >= m_settings.totalLimit;
    });
}

SuspectDecision SuspectTable::decide(const Fingerprint &fingerprint, Age now) const
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return {};
    }
    auto active = activeCrashes(it->second, now);
    if (active.empty()) {
        return {};
    }
    if (active.size() > 1 && m_settings.commonCauseTime > Age::zero()) {
        active = independentCrashes(std::move(active));
    }
    if (active.size() >= m_settings.totalLimit && isOutlived(fingerprint, it->second)) {
        std::erase_if(active, [&](const Crash *crash) {
            return isExplained(*crash, now);
        });
    }
    if (active.empty()) {
        return {SuspectAction::RunAlone, {}};
    }
    std::map<std::string_view, std::size_t> perDomain;
    std::size_t most = 0;
    for (const auto *crash : active) {
        most = std::max(most, ++perDomain[crash->domain]);
    }
    if (most >= m_settings.domainLimit || active.size() >= m_settings.totalLimit) {
        return {SuspectAction::Refuse, active.front()->when + m_settings.hold - now};
    }
    return {SuspectAction::RunAlone, {}};
}

bool SuspectTable::complete(const Fingerprint &fingerprint)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return false;
    }
    // Cleared reports are kept for a while: uncleared copies may still arrive, and other processes need the update.
    bool hasCleared = false;
    for (auto &crash : it->second) {
        hasCleared |= !crash.isCleared;
        crash.sends = crash.isCleared ? crash.sends : 0;
        crash.isCleared = true;
    }
    return hasCleared;
}

bool SuspectTable::isReportable(const Crashes &crashes, Age now) const
{
    return std::any_of(crashes.begin(), crashes.end(), [&](const Crash &it) {
        return now - it.when < m_settings.hold;
    });
}

std::vector<CrashReport> SuspectTable::reportsOf(const Fingerprint &fingerprint, Age now) const
{
    std::vector<CrashReport> reports;
    const auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end() && isReportable(it->second, now)) {
        for (const auto &crash : it->second) {
            reports.push_back(
                {fingerprint, crash.server, crash.incarnation, crash.domain, now - crash.when, crash.isCleared});
        }
    }
    return reports;
}

std::vector<CrashReport>
SuspectTable::nextReports(std::size_t n, Age now, const std::function<bool(const CrashReport &)> &fits)
{
    struct Choice
    {
        const Fingerprint *fingerprint;
        Crash *crash;
        std::size_t crashes; ///< Of the fingerprint; one that ends servers again and again has more than all others.
    };
    std::vector<Choice> choices;
    for (auto &[fingerprint, crashes] : m_suspects) {
        if (isReportable(crashes, now)) {
            for (auto &it : crashes) {
                if (it.sends < m_settings.maxSends) {
                    choices.push_back({&fingerprint, &it, crashes.size()});
                }
            }
        }
    }
    const auto middle = choices.begin() + static_cast<std::ptrdiff_t>(std::min(n, choices.size()));
    std::partial_sort(choices.begin(), middle, choices.end(), [](const auto &a, const auto &b) {
        return std::tie(a.crash->sends, b.crashes, b.crash->when) < std::tie(b.crash->sends, a.crashes, a.crash->when);
    });
    choices.erase(middle, choices.end());
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, crash, count] : choices) {
        CrashReport report{
            *fingerprint, crash->server, crash->incarnation, crash->domain, now - crash->when, crash->isCleared};
        if (fits && !fits(report)) {
            break;
        }
        ++crash->sends;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<CrashReport> SuspectTable::recentReports(std::size_t n, Age now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, crashes] : m_suspects) {
        auto some = reportsOf(fingerprint, now);
        std::move(some.begin(), some.end(), std::back_inserter(reports));
    }
    const auto middle = reports.begin() + static_cast<std::ptrdiff_t>(std::min(n, reports.size()));
    std::partial_sort(reports.begin(), middle, reports.end(), [](const auto &a, const auto &b) {
        return a.age < b.age;
    });
    reports.erase(middle, reports.end());
    return reports;
}

void SuspectTable::expire(Age now)
{
    // Kept for twice the hold time, so that a copy of a report that arrives late is recognised as known.
    std::erase_if(m_suspects, [&](const auto &suspect) {
        return std::all_of(suspect.second.begin(), suspect.second.end(), [&](const Crash &it) {
            return now - it.when >= 2 * m_settings.hold;
        });
    });
}

bool SuspectTable::makeRoom(Age now)
{
    if (m_suspects.size() < m_settings.maxFingerprints) {
        return true;
    }
    expire(now);
    if (m_suspects.size() < m_settings.maxFingerprints) {
        return true;
    }
    // Fingerprints with several crashes are the most likely cause and are kept; evicts the oldest of the others.
    auto evictionCandidate = m_suspects.end();
    std::pair<std::size_t, Age> least;
    for (auto it = m_suspects.begin(); it != m_suspects.end(); ++it) {
        const auto active = activeCrashes(it->second, now);
        const std::pair value{active.size(), active.empty() ? Age::zero() : active.front()->when};
        if (active.size() <= 1 && (evictionCandidate == m_suspects.end() || value < least)) {
            evictionCandidate = it;
            least = value;
        }
    }
    if (evictionCandidate == m_suspects.end()) {
        return false;
    }
    m_suspects.erase(evictionCandidate);
    return true;
}

std::size_t SuspectTable::size() const
{
    return m_suspects.size();
}

std::size_t isolationTarget(const Fingerprint &fingerprint, const std::vector<std::string_view> &servers)
{
    const auto it = std::max_element(servers.begin(), servers.end(), [&](std::string_view a, std::string_view b) {
        return std::pair(rank(fingerprint, a), a) < std::pair(rank(fingerprint, b), b);
    });
    return static_cast<std::size_t>(it - servers.begin());
}

bool IsolationGate::tryStart(const Fingerprint &fingerprint, bool isAlone)
{
    if (isAlone && std::find(m_waiting.begin(), m_waiting.end(), fingerprint) == m_waiting.end()) {
        m_waiting.push_back(fingerprint);
    }
    const bool isNext = isAlone ? m_inFlight.empty() && m_waiting.front() == fingerprint : m_waiting.empty();
    if (m_isAlone || !isNext) {
        return false;
    }
    cancelWait(fingerprint);
    m_inFlight.push_back(fingerprint);
    m_isAlone = isAlone;
    return true;
}

void IsolationGate::cancelWait(const Fingerprint &fingerprint)
{
    std::erase(m_waiting, fingerprint);
}

void IsolationGate::end(const Fingerprint &fingerprint)
{
    const auto it = std::find(m_inFlight.begin(), m_inFlight.end(), fingerprint);
    if (it != m_inFlight.end()) {
        m_inFlight.erase(it);
        m_isAlone = m_isAlone && !m_inFlight.empty();
    }
}

const std::vector<Fingerprint> &IsolationGate::inFlight() const
{
    return m_inFlight;
}

} // namespace turmericline
