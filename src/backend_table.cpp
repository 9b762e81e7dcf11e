#include "backend_table.h"

#include <algorithm>
#include <cmath>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Load that a server nearby may have beyond one in another failure domain, in requests. */
constexpr double remotePenalty = 0.4;
/** Half-life of a stated load: a stream lasts about a second. */
constexpr std::chrono::duration<double> loadHalfLife{1.0};
constexpr std::chrono::milliseconds shortestPause{250};
constexpr std::chrono::milliseconds longestPause{4'000};
/** A full server has room again after about one request. */
constexpr std::chrono::milliseconds fullPause{100};
/** A single failure is often that of the request; the next request goes elsewhere if it can. */
constexpr std::chrono::milliseconds failingPause{50};
/** The store announces the new holder of an address within about this time. */
constexpr std::chrono::milliseconds misdirectedPause{3'000};
/** A group that lost a rank opens again some hundred milliseconds after the rank is back. */
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
    return std::min(shortestPause * (1U << doublings), longestPause);
}

} // namespace

BackendTable::BackendTable(std::string domain)
    : m_domain(std::move(domain))
{
}

void BackendTable::upsert(BackendRecord record)
{
    auto &slot = m_backends[record.id];
    const bool isNew = !slot || slot->record.bornMs != record.bornMs || slot->record.service != record.service
                       || slot->record.address != record.address;
    if (!isNew) {
        if (slot->record.groupEpoch != record.groupEpoch) {
            slot->pausedUntil = {};
        }
        slot->record = std::move(record);
        return;
    }
    if (slot) {
        std::erase(m_services[slot->record.service], slot);
    }
    slot = std::make_shared<Backend>();
    slot->record = std::move(record);
    m_services[slot->record.service].push_back(slot);
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

double BackendTable::score(TimePoint now, const Backend &backend) const
{
    const std::chrono::duration<double> age = now - backend.loadAt;
    const double others = backend.othersInFlight * std::exp2(-age / loadHalfLife);
    const double distance = backend.record.domain == m_domain ? 0 : remotePenalty;
    return backend.inFlight + others + distance;
}

std::optional<BackendPick> BackendTable::choose(TimePoint now,
                                                std::string_view service,
                                                std::span<const std::string> tried,
                                                std::mt19937_64 &random) const
{
    const auto servers = m_services.find(service);
    if (servers == m_services.end()) {
        return std::nullopt;
    }
    const Backend *best = nullptr;
    double bestScore = 0;
    std::size_t ties = 0;
    for (const auto &it : servers->second) {
        const bool wasTried = std::find(tried.begin(), tried.end(), it->record.id) != tried.end();
        if (it->record.isLeaving || it->record.isGroupBroken || it->pausedUntil > now || wasTried) {
            continue;
        }
        const double s = score(now, *it);
        if (best != nullptr && s > bestScore) {
            continue;
        }
        // Equal loads are chosen from at random, or all gateways would take the same server.
        ties = best != nullptr && s == bestScore ? ties + 1 : 1;
        if (ties == 1 || random() % ties == 0) {
            best = it.get();
            bestScore = s;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return BackendPick{best->record.id, best->record.address};
}

bool BackendTable::isDown(TimePoint now, std::string_view service) const
{
    const auto servers = m_services.find(service);
    return servers == m_services.end()
           || std::all_of(servers->second.begin(), servers->second.end(), [now](const auto &it) {
                  return it->record.isLeaving || it->record.isGroupBroken || (it->pausedUntil > now && it->isDown);
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
    // A new incarnation under the same id starts at zero while requests of the old one still end.
    if (auto *it = findMutable(id); it != nullptr && it->inFlight > 0) {
        --it->inFlight;
    }
}

void BackendTable::onSuccess(std::string_view id)
{
    if (auto *it = findMutable(id)) {
        it->failures = 0;
    }
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

void BackendTable::onLoad(TimePoint now, std::string_view id, BackendLoad load)
{
    if (auto *it = findMutable(id)) {
        const double all = load.running + load.waiting;
        it->othersInFlight = std::max(0.0, all - it->inFlight);
        it->loadAt = now;
    }
}

} // namespace turmericline
