#include "part_suspect.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace turmericline {

namespace {

/**
 * Each transmission makes a time appear later than it was. A reported time of an answer must be later than the known one
 * by more than this to replace it, so that reports that circulate do not move it over a crash.
 */
constexpr Age minSoundAdvance{std::chrono::seconds(1)};

/** After so many messages since its last news, a part is left out of messages; who asks for all reports gets it. */
constexpr unsigned maxSends = 32;

/** Processes that have not seen the last crash wait for this multiple of the hold time before they test a part. */
constexpr double minTestDelay = 2;
constexpr double maxTestDelay = 3;

} // namespace

PartSuspects::PartSuspects(PartSuspectSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_history(settings.maxHistory)
{
}

void PartSuspects::recordCrash(std::span<const PartInFlight> parts,
                               std::string_view server,
                               std::uint64_t incarnation,
                               Age when)
{
    m_accused.reset();
    for (const auto &it : parts) {
        if (auto *part = findOrAdd(it.part, when)) {
            part->position = std::max(part->position, it.position);
            m_hasNews |= addCrash(it.part, *part, {std::string(server), incarnation, when, when - it.runTime}, true);
        }
    }
}

void PartSuspects::recordSent(std::span<const Fingerprint> parts)
{
    for (const auto &it : parts) {
        m_history.recordSent(it);
    }
}

void PartSuspects::recordNotRun(std::span<const Fingerprint> parts)
{
    for (const auto &it : parts) {
        m_history.recordNotRun(it);
    }
}

void PartSuspects::recordSound(std::span<const Fingerprint> parts, Age now)
{
    for (const auto &it : parts) {
        m_history.recordSound(it, now);
        if (const auto known = m_parts.find(it); known != m_parts.end()) {
            m_hasNews |= setSound(it, known->second, now);
        }
    }
}

void PartSuspects::recordSurvived(std::span<const Fingerprint> parts, Age now)
{
    for (const auto &it : parts) {
        const auto n = m_history.find(it).survived + 1;
        m_history.setSurvived(it, n % m_settings.survivedIfSound);
        if (n >= m_settings.survivedIfSound) {
            recordSound(std::span(&it, 1), now);
        }
    }
}

bool PartSuspects::merge(const PartReport &report, Age now)
{
    const auto hasEffect = [&](const PartCrash &it) {
        return it.age < m_settings.maxHold && (!report.soundAge || it.age < *report.soundAge);
    };
    const bool isKnown = m_parts.contains(report.part);
    if (!isKnown && std::none_of(report.crashes.begin(), report.crashes.end(), hasEffect)) {
        return false;
    }
    auto *part = findOrAdd(report.part, now);
    if (part == nullptr) {
        return false;
    }
    m_accused.reset();
    part->position = std::max(part->position, report.position);
    part->sentElsewhere = std::max(part->sentElsewhere, report.sent);
    // The sender does not know that a request with the part got an answer here.
    bool isNew = !isKnown && part->soundAt && !report.soundAge;
    const auto soundAt = report.soundAge ? std::optional(now - *report.soundAge) : std::nullopt;
    if (soundAt && (!part->soundAt || *soundAt > *part->soundAt + minSoundAdvance)) {
        isNew |= setSound(report.part, *part, *soundAt);
    }
    for (const auto &it : report.crashes) {
        isNew |= addCrash(report.part, *part, {it.server, it.incarnation, now - it.age, now - it.requestAge}, false);
    }
    m_hasNews |= isNew;
    return isNew;
}

PartSuspects::Part *PartSuspects::findOrAdd(const Fingerprint &fingerprint, Age now)
{
    const auto known = m_parts.find(fingerprint);
    if (known != m_parts.end()) {
        return &known->second;
    }
    if (!makeRoom(now)) {
        return nullptr;
    }
    Part part;
    part.soundAt = m_history.find(fingerprint).soundAt;
    part.testDelay = std::uniform_real_distribution<double>(minTestDelay, maxTestDelay)(m_random);
    return &m_parts.emplace(fingerprint, std::move(part)).first->second;
}

bool PartSuspects::addCrash(const Fingerprint &fingerprint, Part &part, Crash crash, bool isOwn)
{
    if (part.soundAt && crash.when <= *part.soundAt) {
        return false;
    }
    const auto known = std::find_if(part.crashes.begin(), part.crashes.end(), [&crash](const Crash &it) {
        return it.server == crash.server && it.incarnation == crash.incarnation;
    });
    if (known != part.crashes.end()) {
        part.hasSeenLast |= isOwn;
        known->when = std::min(known->when, crash.when);
        known->requestAt = std::max(known->requestAt, crash.requestAt);
        return false;
    }
    part.hasSeenLast = crash.when >= lastCrash(part) ? isOwn : part.hasSeenLast;
    part.crashes.push_back(std::move(crash));
    if (part.crashes.size() > m_settings.maxCrashesPerPart) {
        part.crashes.erase(
            std::min_element(part.crashes.begin(), part.crashes.end(), [](const Crash &a, const Crash &b) {
                return a.when < b.when;
            }));
    }
    part.sends = 0;
    if (m_history.find(fingerprint).survived > 0) {
        m_history.setSurvived(fingerprint, 0);
    }
    return true;
}

/** Returns whether this is news: it voids crashes, or it is the first answer that is known. */
bool PartSuspects::setSound(const Fingerprint &fingerprint, Part &part, Age soundAt)
{
    if (part.soundAt && soundAt <= *part.soundAt) {
        return false;
    }
    const bool isFirst = !part.soundAt;
    const bool wasAccused = isAccused(fingerprint);
    m_accused.reset();
    part.soundAt = soundAt;
    part.sentElsewhere = 0;
    const auto voided = std::erase_if(part.crashes, [soundAt](const Crash &it) {
        return it.when <= soundAt;
    });
    if (wasAccused && part.crashes.empty() && m_cleared.size() < m_settings.maxParts) {
        m_cleared.push_back(fingerprint);
    }
    if (voided == 0 && !isFirst) {
        return false;
    }
    part.sends = 0;
    return true;
}

std::vector<Fingerprint> PartSuspects::takeCleared()
{
    return std::exchange(m_cleared, {});
}

Age PartSuspects::lastCrash(const Part &part)
{
    Age last = Age::min();
    for (const auto &it : part.crashes) {
        last = std::max(last, it.when);
    }
    return last;
}

/** Crashes of @p part that are not among @p explained. */
std::vector<const PartSuspects::Crash *> PartSuspects::unexplained(const Part &part,
                                                                   const std::vector<const Crash *> &explained)
{
    std::vector<const Crash *> found;
    for (const auto &crash : part.crashes) {
        const bool isExplained = std::any_of(explained.begin(), explained.end(), [&crash](const Crash *it) {
            return it->server == crash.server && it->incarnation == crash.incarnation;
        });
        if (!isExplained) {
            found.push_back(&crash);
        }
    }
    return found;
}

std::size_t PartSuspects::seriesCount(std::vector<const Crash *> crashes) const
{
    std::sort(crashes.begin(), crashes.end(), [](const Crash *a, const Crash *b) {
        return a->when < b->when;
    });
    std::size_t n = 0;
    Age start{};
    for (const auto *it : crashes) {
        if (n == 0 || it->when - start >= m_settings.seriesTime || it->requestAt > start) {
            start = it->when;
            ++n;
        }
    }
    return n;
}

std::size_t PartSuspects::limit(const Part &part) const
{
    return part.soundAt ? m_settings.knownPartLimit : m_settings.newPartLimit;
}

/** Whether a part may be the cause of @p crashes, which are its own. */
bool PartSuspects::isCause(const Parts::value_type &part, const std::vector<const Crash *> &crashes) const
{
    const auto &[fingerprint, it] = part;
    const auto maxSent = m_settings.maxSentPerEnd * crashes.size();
    const bool isCauseAtOnce
        = !it.soundAt && crashes.size() >= m_settings.newPartEnds && sentCount(fingerprint, it) <= maxSent;
    return isCauseAtOnce || (crashes.size() >= limit(it) && seriesCount(crashes) >= limit(it));
}

bool PartSuspects::isOverLimit(const Parts::value_type &part) const
{
    return isCause(part, unexplained(part.second, {}));
}

std::uint32_t PartSuspects::sentCount(const Fingerprint &fingerprint, const Part &part) const
{
    return std::max(part.sentElsewhere, m_history.find(fingerprint).sent);
}

PartSuspects::Rank PartSuspects::rankOf(const Parts::value_type &part) const
{
    const auto &[fingerprint, it] = part;
    const auto ends = it.crashes.size();
    const auto sent = sentCount(fingerprint, it);
    Rank rank;
    rank.isWeak = seriesCount(unexplained(it, {})) < m_settings.knownPartLimit
                  || sent > m_settings.maxSentPerEndIfStrong * ends;
    rank.wasAnswered = it.soundAt.has_value();
    rank.sentMagnitude = std::bit_width(sent / std::max<std::uint32_t>(1, static_cast<std::uint32_t>(ends)));
    rank.missingEnds = m_settings.maxCrashesPerPart - ends;
    return rank;
}

bool PartSuspects::haveSameCrashes(const std::vector<const Crash *> &a, const std::vector<const Crash *> &b)
{
    return a.size() == b.size() && std::all_of(a.begin(), a.end(), [&b](const Crash *it) {
               return std::any_of(b.begin(), b.end(), [it](const Crash *other) {
                   return it->server == other->server && it->incarnation == other->incarnation;
               });
           });
}

/** Parts that explain crashes, each of which is explained once. */
const std::vector<PartSuspects::AccusedParts> &PartSuspects::accused() const
{
    if (m_accused) {
        return *m_accused;
    }
    m_accused.emplace();
    std::vector<std::pair<Rank, const Parts::value_type *>> candidates;
    for (const auto &it : m_parts) {
        if (isOverLimit(it)) {
            candidates.emplace_back(rankOf(it), &it);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::pair(a.first, a.second->first) < std::pair(b.first, b.second->first);
    });
    std::vector<const Crash *> explained;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto &[rank, part] = candidates[i];
        const auto crashes = unexplained(part->second, explained);
        if (!isCause(*part, crashes)) {
            continue;
        }
        AccusedParts parts{part->first};
        for (auto k = i + 1; k < candidates.size() && candidates[k].first == rank; ++k) {
            if (haveSameCrashes(crashes, unexplained(candidates[k].second->second, explained))) {
                parts.push_back(candidates[k].second->first);
            }
        }
        m_accused->push_back(std::move(parts));
        explained.insert(explained.end(), crashes.begin(), crashes.end());
    }
    return *m_accused;
}

bool PartSuspects::isAccused(const Fingerprint &fingerprint) const
{
    return std::any_of(accused().begin(), accused().end(), [&fingerprint](const AccusedParts &it) {
        return std::find(it.begin(), it.end(), fingerprint) != it.end();
    });
}

std::vector<Fingerprint> PartSuspects::accusedAmong(std::span<const Fingerprint> parts) const
{
    std::vector<Fingerprint> found;
    if (m_parts.empty()) {
        return found;
    }
    for (const auto &group : accused()) {
        const bool hasAll = std::all_of(group.begin(), group.end(), [parts](const Fingerprint &it) {
            return std::find(parts.begin(), parts.end(), it) != parts.end();
        });
        if (hasAll) {
            found.push_back(group.front());
        }
    }
    return found;
}

SuspectDecision PartSuspects::decidePart(const Part &part, Age now) const
{
    const auto series = seriesCount(unexplained(part, {}));
    auto hold = m_settings.minHold;
    for (auto n = limit(part); n < series && hold < m_settings.maxHold; ++n) {
        hold *= 2;
    }
    hold = std::min(hold, m_settings.maxHold);
    const auto wait = part.hasSeenLast ? hold : Age(static_cast<Age::rep>(hold.count() * part.testDelay));
    auto testAt = lastCrash(part) + wait;
    if (part.testedAt) {
        testAt = std::max(testAt, *part.testedAt + m_settings.testTime);
    }
    return now < testAt ? SuspectDecision{SuspectAction::Refuse, testAt - now}
                        : SuspectDecision{SuspectAction::RunAlone, {}};
}

SuspectDecision PartSuspects::decide(std::span<const Fingerprint> parts, Age now) const
{
    SuspectDecision strictest;
    for (const auto &it : accusedAmong(parts)) {
        const auto decision = decidePart(m_parts.at(it), now);
        if (std::pair(decision.action, decision.retryAfter) > std::pair(strictest.action, strictest.retryAfter)) {
            strictest = decision;
        }
    }
    return strictest;
}

SuspectDecision PartSuspects::admit(std::span<const Fingerprint> parts, Age now)
{
    const auto decision = decide(parts, now);
    if (decision.action == SuspectAction::RunAlone) {
        for (const auto &it : accusedAmong(parts)) {
            m_parts.at(it).testedAt = now;
        }
    }
    return decision;
}

bool PartSuspects::areSound(std::span<const Fingerprint> parts) const
{
    return std::all_of(parts.begin(), parts.end(), [this](const Fingerprint &it) {
        const auto known = m_parts.find(it);
        return m_history.find(it).soundAt && (known == m_parts.end() || known->second.crashes.empty());
    });
}

bool PartSuspects::takeNews()
{
    return std::exchange(m_hasNews, false);
}

PartReport PartSuspects::reportOf(const Fingerprint &fingerprint, const Part &part, Age now) const
{
    PartReport report{fingerprint, part.position, sentCount(fingerprint, part), std::nullopt, {}};
    if (part.soundAt) {
        report.soundAge = now - *part.soundAt;
    }
    for (const auto &it : part.crashes) {
        report.crashes.push_back({it.server, it.incarnation, now - it.when, now - it.requestAt});
    }
    return report;
}

std::vector<PartReport> PartSuspects::nextReports(Age now, const std::function<bool(const PartReport &)> &fits)
{
    std::vector<Parts::iterator> order;
    for (auto it = m_parts.begin(); it != m_parts.end(); ++it) {
        if (it->second.sends < maxSends) {
            order.push_back(it);
        }
    }
    // A process that does not know the accused part could blame another one for its crashes.
    const auto key = [this](const Parts::iterator &it) {
        return std::tuple(!isAccused(it->first), it->second.sends, ~it->second.crashes.size());
    };
    std::sort(order.begin(), order.end(), [&key](const auto &a, const auto &b) {
        return key(a) < key(b);
    });
    std::vector<PartReport> reports;
    for (const auto &it : order) {
        auto report = reportOf(it->first, it->second, now);
        if (!fits(report)) {
            break;
        }
        ++it->second.sends;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<PartReport> PartSuspects::allReports(std::size_t n, Age now) const
{
    std::vector<PartReport> reports;
    reports.reserve(m_parts.size());
    for (const auto &[fingerprint, part] : m_parts) {
        reports.push_back(reportOf(fingerprint, part, now));
    }
    const auto middle = reports.begin() + static_cast<std::ptrdiff_t>(std::min(n, reports.size()));
    std::partial_sort(reports.begin(), middle, reports.end(), [](const auto &a, const auto &b) {
        return a.crashes.size() > b.crashes.size();
    });
    reports.erase(middle, reports.end());
    return reports;
}

bool PartSuspects::isForgotten(const Parts::value_type &entry, Age now) const
{
    const auto &part = entry.second;
    // The crashes of a part that is refused must outlast the longest wait of a process for its test.
    const auto memory = Age(static_cast<Age::rep>(m_settings.maxHold.count() * (maxTestDelay + 1)));
    const auto last = part.crashes.empty() ? part.soundAt.value_or(now) : lastCrash(part);
    return now - last >= (part.crashes.empty() || !isOverLimit(entry) ? m_settings.maxHold : memory);
}

void PartSuspects::expire(Age now)
{
    const auto n = std::erase_if(m_parts, [&](const auto &it) {
        return isForgotten(it, now);
    });
    if (n > 0) {
        m_accused.reset();
    }
}

/** Of the parts that are not accused, the one whose last crash is the oldest gives way. */
bool PartSuspects::makeRoom(Age now)
{
    if (m_parts.size() < m_settings.maxParts) {
        return true;
    }
    expire(now);
    if (m_parts.size() < m_settings.maxParts) {
        return true;
    }
    auto oldest = m_parts.end();
    for (auto it = m_parts.begin(); it != m_parts.end(); ++it) {
        if (!isOverLimit(*it) && (oldest == m_parts.end() || lastCrash(it->second) < lastCrash(oldest->second))) {
            oldest = it;
        }
    }
    if (oldest == m_parts.end()) {
        return false;
    }
    m_accused.reset();
    m_parts.erase(oldest);
    return true;
}

std::size_t PartSuspects::size() const
{
    return m_parts.size();
}

} // namespace turmericline
