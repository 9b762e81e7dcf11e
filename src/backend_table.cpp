#include "backend_table.h"

#include "backend_choice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Added to the load of a server in another failure domain, in requests. */
constexpr double remotePenalty = 0.4;
/** Half-life of a reported load: a stream lasts about a second. */
constexpr std::chrono::duration<double> loadHalfLife{1.0};
/** Age up to which a report of the group's loads is treated as current. */
constexpr std::chrono::milliseconds freshLoadTime{800};
/** Requests that a rank receives from all gateways while a load report is in transit: 5 a second for 0.1 s. */
constexpr double arrivalsPerServer = 0.5;
/** Limit of waiting requests per rank while the serving time is not known. */
constexpr double waitingPerServer = 2;
/** Part of the latency target that a request may wait for a slot. The rest is for its prompt and its first event. */
constexpr double maxWaitShare = 0.5;
/** Weight of a new serving time in the mean: that of about the last 20 requests. */
constexpr double servingTimeWeight = 0.05;
/** Time of a pass without requests (step_ms of the engines), in units of the time per request (per_seq_ms). */
constexpr double passBase = 5;
/** A reported pace up to this is noise. */
constexpr double maxNormalPace = 1.2;
/** Limit of the time for which a server may want no requests, so that a wrong value does not withdraw it for good. */
constexpr std::chrono::milliseconds maxRetryAfter{60'000};
constexpr std::chrono::milliseconds minPause{250};
constexpr std::chrono::milliseconds maxPause{4'000};
/** A full server has capacity again after about one request. */
constexpr std::chrono::milliseconds fullPause{100};
/** Short, since a single failure is often caused by the request; subsequent requests prefer other servers. */
constexpr std::chrono::milliseconds failingPause{50};
/** The store announces the new holder of an address within about this time. */
constexpr std::chrono::milliseconds misdirectedPause{3'000};
/** A group that lost a rank accepts requests again a few hundred milliseconds after the rank has returned. */
constexpr std::chrono::milliseconds stalledPause{500};

std::chrono::milliseconds pauseOf(BackendFault fault, std::uint32_t failures)
{
    switch (fault) {
    case BackendFault::Failing:
        return failingPause;
    case BackendFault::Full:
        return fullPause;
    case BackendFault::Misdirected:
        return misdirectedPause;
    case BackendFault::Stalled:
        return stalledPause;
    case BackendFault::Unreachable:
    case BackendFault::Broken:
        break;
    }
    const auto doublings = std::min(failures, 4U);
    return std::min(minPause * (1U << doublings), maxPause);
}

} // namespace

bool ServerFilter::allows(const BackendRecord &record) const
{
    const bool isInGroup
        = std::find(excludedGroups.begin(), excludedGroups.end(), record.group) != excludedGroups.end();
    return !isInGroup && (domains == nullptr || domains->contains(record.domain));
}

BackendTable::BackendTable(std::string domain)
    : m_domain(std::move(domain))
{
}

void BackendTable::upsert(BackendRecord record)
{
    auto &slot = m_backends[record.id];
    const bool isNew = !slot || slot->record.startTimeMs != record.startTimeMs || slot->record.service != record.service
                       || slot->record.address != record.address;
    if (!isNew) {
        if (slot->record.groupEpoch != record.groupEpoch) {
            slot->pausedUntil = {};
        }
        slot->record = std::move(record);
        slot->isWithheld = false;
        slot->isEvacuated = m_evacuated.contains(slot->record.domain);
        return;
    }
    if (slot) {
        std::erase(m_services[slot->record.service], slot);
    }
    slot = std::make_shared<Backend>();
    slot->record = std::move(record);
    slot->isEvacuated = m_evacuated.contains(slot->record.domain);
    m_services[slot->record.service].push_back(slot);
}

void BackendTable::withhold(std::string_view id)
{
    if (auto *it = findMutable(id)) {
        it->isWithheld = true;
    }
}

void BackendTable::remove(std::string_view id)
{
    const auto it = m_backends.find(id);
    if (it == m_backends.end()) {
        return;
    }
    std::erase(m_services[it->second->record.service], it->second);
    m_backends.erase(it);
}

void BackendTable::setEvacuated(std::set<std::string> domains)
{
    m_evacuated = std::move(domains);
    for (const auto &[id, it] : m_backends) {
        it->isEvacuated = m_evacuated.contains(it->record.domain);
    }
}

const Backend *BackendTable::find(std::string_view id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? nullptr : it->second.get();
}

std::vector<std::string> BackendTable::ids() const
{
    std::vector<std::string> all;
    all.reserve(m_backends.size());
    for (const auto &[id, backend] : m_backends) {
        all.push_back(id);
    }
    return all;
}

Backend *BackendTable::findMutable(std::string_view id)
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? nullptr : it->second.get();
}

/** Returns nothing if the server has started again since. */
Backend *BackendTable::findRun(const ServerIncarnation &server)
{
    auto *it = findMutable(server.id);
    return it != nullptr && it->record.startTimeMs == server.startTimeMs ? it : nullptr;
}

double BackendTable::load(TimePoint now, const Backend &backend)
{
    const std::chrono::duration<double> age = now - backend.loadAt;
    return backend.inFlight + backend.othersInFlight * std::exp2(-age / loadHalfLife);
}

bool BackendTable::isOpen(const Backend &backend)
{
    return !backend.record.isLeaving && !backend.record.isGroupBroken && !backend.isWithheld && !backend.isEvacuated;
}

double BackendTable::score(TimePoint now, const Backend &backend) const
{
    const double distance = backend.record.domain == m_domain ? 0 : remotePenalty;
    // All ranks wait for the slowest one, so a slow rank gets only as many requests as keep its pass time equal to that
    // of the others.
    const bool isSlow = isReported(now, backend) && backend.pace > maxNormalPace;
    const double pace = isSlow ? backend.pace : 1;
    return (load(now, backend) + passBase) * pace - passBase + distance;
}

bool BackendTable::isReported(TimePoint now, const Backend &backend)
{
    return backend.groupLoadAt + freshLoadTime > now;
}

bool BackendTable::areMostReported(TimePoint now, std::span<const std::shared_ptr<Backend>> servers)
{
    std::size_t ranks = 0;
    std::size_t reported = 0;
    for (const auto &it : servers) {
        if (isOpen(*it) && !it->record.group.empty()) {
            ++ranks;
            reported += isReported(now, *it) ? 1 : 0;
        }
    }
    return reported * 2 > ranks;
}

bool BackendTable::isCandidate(TimePoint now,
                               const Backend &backend,
                               bool skipsUnreported,
                               std::optional<std::chrono::milliseconds> latencyTarget) const
{
    if (!isOpen(backend) || std::max({backend.pausedUntil, backend.waitsUntil, backend.noPermitUntil}) > now) {
        return false;
    }
    if (!isReported(now, backend)) {
        return !skipsUnreported;
    }
    return load(now, backend) < backend.record.slots + maxWaiting(backend, latencyTarget);
}

std::optional<BackendPick>
BackendTable::pick(TimePoint now, std::string_view id, std::optional<std::chrono::milliseconds> latencyTarget) const
{
    const auto *backend = find(id);
    if (backend == nullptr) {
        return std::nullopt;
    }
    const auto &record = backend->record;
    const bool skipsUnreported = areMostReported(now, m_services.find(record.service)->second);
    if (!isCandidate(now, *backend, skipsUnreported, latencyTarget)) {
        return std::nullopt;
    }
    return BackendPick{{record.id, record.startTimeMs, record.domain}, record.address, record.group};
}

std::optional<BackendPick> BackendTable::choose(TimePoint now,
                                                std::string_view service,
                                                std::span<const std::string> tried,
                                                std::mt19937_64 &random,
                                                std::optional<std::chrono::milliseconds> latencyTarget,
                                                const ServerFilter &filter) const
{
    const auto servers = m_services.find(service);
    if (servers == m_services.end()) {
        return std::nullopt;
    }
    std::vector<const Backend *> candidates;
    std::vector<double> scores;
    bool isFresh = true;
    const bool skipsUnreported = areMostReported(now, servers->second);
    for (const auto &it : servers->second) {
        const bool wasTried = std::find(tried.begin(), tried.end(), it->record.id) != tried.end();
        if (wasTried || !filter.allows(it->record) || !isCandidate(now, *it, skipsUnreported, latencyTarget)) {
            continue;
        }
        candidates.push_back(it.get());
        scores.push_back(score(now, *it));
        isFresh = isFresh && isReported(now, *it);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const double arrivals = isFresh ? arrivalsPerServer * static_cast<double>(candidates.size()) : 0;
    const auto &best = candidates[chooseByWaterFilling(scores, arrivals, random)]->record;
    return BackendPick{{best.id, best.startTimeMs, best.domain}, best.address, best.group};
}

bool BackendTable::isDown(TimePoint now, std::string_view service) const
{
    const auto servers = m_services.find(service);
    return servers == m_services.end()
           || std::all_of(servers->second.begin(), servers->second.end(), [now](const auto &it) {
                  return !isOpen(*it) || (it->pausedUntil > now && it->isDown);
              });
}

void BackendTable::onStart(std::string_view id)
{
    if (auto *it = findMutable(id)) {
        ++it->inFlight;
    }
}

void BackendTable::onEnd(std::string_view id)
{
    // The count of a new incarnation starts at zero, while requests of the previous one with the same id still end.
    if (auto *it = findMutable(id); it != nullptr && it->inFlight > 0) {
        --it->inFlight;
    }
}

void BackendTable::onSuccess(std::string_view id, std::optional<std::chrono::milliseconds> servingTime)
{
    auto *it = findMutable(id);
    if (it == nullptr) {
        return;
    }
    it->failures = 0;
    if (servingTime) {
        const auto ms = static_cast<double>(servingTime->count());
        const auto [mean, isNew] = m_servingMs.try_emplace(it->record.service, ms);
        mean->second += (ms - mean->second) * servingTimeWeight;
    }
}

/** Number of requests that may wait at a rank: as many as get a slot within the time that one of them may wait. */
double BackendTable::maxWaiting(const Backend &backend, std::optional<std::chrono::milliseconds> latencyTarget) const
{
    const auto servingMs = m_servingMs.find(backend.record.service);
    if (!latencyTarget || servingMs == m_servingMs.end() || servingMs->second <= 0) {
        return waitingPerServer;
    }
    const double maxWaitMs = static_cast<double>(latencyTarget->count()) * maxWaitShare;
    return maxWaitMs * backend.record.slots / servingMs->second;
}

void BackendTable::pause(TimePoint now, Backend &backend, BackendFault fault)
{
    backend.pausedUntil = std::max(backend.pausedUntil, now + pauseOf(fault, backend.failures));
    backend.isDown = fault != BackendFault::Full && fault != BackendFault::Failing;
}

void BackendTable::onFault(TimePoint now, std::string_view id, BackendFault fault)
{
    auto *it = findMutable(id);
    if (it == nullptr) {
        return;
    }
    if (fault != BackendFault::Stalled || it->record.group.empty()) {
        pause(now, *it, fault);
    } else {
        // All ranks of a group stall together.
        for (const auto &other : m_services[it->record.service]) {
            if (other->record.group == it->record.group) {
                pause(now, *other, fault);
            }
        }
    }
    if (fault == BackendFault::Unreachable || fault == BackendFault::Broken) {
        ++it->failures;
    }
}

std::vector<std::string> BackendTable::groups() const
{
    std::set<std::string> names;
    for (const auto &[id, it] : m_backends) {
        if (!it->record.group.empty()) {
            names.insert(it->record.group);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<GroupLoad> BackendTable::groupLoads(TimePoint now) const
{
    std::map<std::string_view, GroupLoad> loads;
    std::map<std::string_view, std::size_t> reported;
    for (const auto &[id, it] : m_backends) {
        if (it->record.group.empty() || !isOpen(*it)) {
            continue;
        }
        auto &group = loads[it->record.group];
        group.group = it->record.group;
        group.service = it->record.service;
        ++group.ranks;
        group.requests += load(now, *it);
        reported[it->record.group] += isReported(now, *it) ? 1 : 0;
    }
    std::vector<GroupLoad> all;
    for (auto &[name, it] : loads) {
        if (reported[name] * 2 > it.ranks) {
            all.push_back(std::move(it));
        }
    }
    return all;
}

const BackendRecord *BackendTable::chooseNearRank(std::string_view group, std::mt19937_64 &random) const
{
    std::vector<const BackendRecord *> near;
    std::vector<const BackendRecord *> all;
    for (const auto &[id, it] : m_backends) {
        if (it->record.group != group) {
            continue;
        }
        all.push_back(&it->record);
        if (it->record.domain == m_domain) {
            near.push_back(&it->record);
        }
    }
    const auto &candidates = near.empty() ? all : near;
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
}

void BackendTable::onGroupLoadsQueried(std::string_view group)
{
    for (const auto &[id, it] : m_backends) {
        if (it->record.group == group) {
            it->inFlightAtQuery = it->inFlight;
        }
    }
}

void BackendTable::onGroupLoads(TimePoint readAt,
                                std::string_view group,
                                std::span<const std::optional<BackendLoad>> loads)
{
    for (const auto &[id, it] : m_backends) {
        if (it->record.group != group || it->record.rank >= loads.size() || readAt < it->groupLoadAt) {
            continue;
        }
        if (!loads[it->record.rank]) {
            it->groupLoadAt = {};
            continue;
        }
        const auto &load = *loads[it->record.rank];
        it->othersInFlight = std::max(0.0, static_cast<double>(load.running + load.waiting) - it->inFlightAtQuery);
        it->loadAt = readAt;
        it->groupLoadAt = readAt;
        it->pace = load.pace;
    }
}

void BackendTable::onLoad(TimePoint now, std::string_view id, BackendLoad load)
{
    if (auto *it = findMutable(id)) {
        const double all = load.running + load.waiting;
        it->othersInFlight = std::max(0.0, all - it->inFlight);
        it->loadAt = now;
    }
}

bool BackendTable::onLeaving(const ServerIncarnation &server)
{
    auto *it = findRun(server);
    return it != nullptr && !std::exchange(it->record.isLeaving, true);
}

void BackendTable::onRetryAfter(TimePoint now, const ServerIncarnation &server, std::chrono::milliseconds time)
{
    if (auto *it = findRun(server)) {
        it->waitsUntil = std::max(it->waitsUntil, now + std::min(time, maxRetryAfter));
    }
}

void BackendTable::onNoPermit(const ServerIncarnation &server, TimePoint until)
{
    if (auto *it = findRun(server)) {
        it->noPermitUntil = until;
    }
}

void BackendTable::onPermitsChanged(std::string_view id)
{
    if (auto *it = findMutable(id)) {
        it->noPermitUntil = {};
    }
}

std::optional<ServiceWait> BackendTable::waitOf(TimePoint now, std::string_view service) const
{
    const auto servers = m_services.find(service);
    std::optional<ServiceWait> first;
    if (servers == m_services.end()) {
        return first;
    }
    for (const auto &it : servers->second) {
        if (!isOpen(*it) || (it->pausedUntil > now && it->isDown)) {
            continue;
        }
        const auto until = std::max(it->waitsUntil, it->noPermitUntil);
        if (until <= now) {
            return std::nullopt;
        }
        if (!first || until < first->until) {
            first = ServiceWait{until, it->record.id, it->noPermitUntil > it->waitsUntil};
        }
    }
    return first;
}

} // namespace turmericline
