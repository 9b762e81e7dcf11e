#include "health.h"

#include <xxhash.h>

#include <algorithm>

namespace turmericline {

namespace {

constexpr double smoothing = 0.1;

} // namespace

ServerKey serverKey(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

HealthTable::HealthTable(HealthConfig config)
    : m_config(config)
{
}

void HealthTable::add(TimePoint now, ServerKey server)
{
    const auto [it, isNew] = m_rows.try_emplace(server);
    if (isNew) {
        it->second.listedSince = now;
    }
}

void HealthTable::remove(ServerKey server)
{
    m_rows.erase(server);
}

const HealthTable::Row *HealthTable::find(ServerKey server) const
{
    const auto it = m_rows.find(server);
    return it == m_rows.end() ? nullptr : &it->second;
}

void HealthTable::setListed(TimePoint now, ServerKey server, ListedState state)
{
    const auto it = m_rows.find(server);
    if (it != m_rows.end() && it->second.listed != state) {
        it->second.listed = state;
        it->second.listedSince = now;
    }
}

void HealthTable::setLeaving(ServerKey server, bool isLeaving)
{
    const auto it = m_rows.find(server);
    if (it != m_rows.end()) {
        it->second.isLeaving = isLeaving;
    }
}

void HealthTable::onSuccess(TimePoint now,
                            ServerKey server,
                            std::uint64_t incarnation,
                            std::chrono::duration<double> latency)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return;
    }
    Row &row = it->second;
    if (row.incarnation != incarnation) {
        // Reports and latencies refer to the previous incarnation of the agent.
        row.incarnation = incarnation;
        row.reports = {};
        row.latency = 0;
    }
    row.lastSuccess = now;
    row.isProbeActive = false;
    row.failures = 0;
    row.latency = row.latency == 0 ? latency.count() : row.latency + smoothing * (latency.count() - row.latency);
    if (row.isSuspected && ++row.successes >= m_config.successesToTrust) {
        row.isSuspected = false;
        row.reports = {};
    }
}

void HealthTable::onFailure(TimePoint now, ServerKey server)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end()) {
        return;
    }
    Row &row = it->second;
    row.successes = 0;
    row.isProbeActive = false;
    if (++row.failures >= m_config.failuresToSuspect && !row.isSuspected) {
        row.isSuspected = true;
        row.lastProbe = now;
    }
}

void HealthTable::onEnd(ServerKey server)
{
    const auto it = m_rows.find(server);
    if (it != m_rows.end()) {
        it->second.isProbeActive = false;
    }
}

void HealthTable::onReport(TimePoint now, EntryKey reporter, const HealthReport &report)
{
    const auto it = m_rows.find(report.server);
    if (it == m_rows.end()) {
        return;
    }
    Row &row = it->second;
    if (report.state != HealthState::Suspected || (row.incarnation != 0 && report.incarnation != row.incarnation)) {
        return;
    }
    auto slot = std::find_if(row.reports.begin(), row.reports.end(), [&](const Report &r) {
        return r.reporter == reporter;
    });
    if (slot == row.reports.end()) {
        slot = std::min_element(row.reports.begin(), row.reports.end(), [](const Report &a, const Report &b) {
            return a.at < b.at;
        });
    }
    *slot = {reporter, now};
}

bool HealthTable::isReported(TimePoint now, const Row &row) const
{
    if (now - row.lastSuccess < m_config.evidenceLifetime) {
        return false;
    }
    const auto fresh = std::count_if(row.reports.begin(), row.reports.end(), [&](const Report &r) {
        return r.reporter != 0 && now - r.at < m_config.reportLifetime;
    });
    return static_cast<unsigned>(fresh) >= m_config.reportersToSuspect;
}

/** The list may be wrong for a while, so absence counts only if it lasts or if the server also fails. */
bool HealthTable::isAbsent(TimePoint now, const Row &row) const
{
    if (row.listed != ListedState::Absent || now - row.lastSuccess < m_config.evidenceLifetime) {
        return false;
    }
    return row.isSuspected || now - row.listedSince >= m_config.absentTime;
}

HealthState HealthTable::state(TimePoint now, ServerKey server) const
{
    const Row *row = find(server);
    if (row == nullptr || isAbsent(now, *row)) {
        return HealthState::Gone;
    }
    if (row->isLeaving || row->listed == ListedState::Leaving) {
        return HealthState::Leaving;
    }
    if (row->isSuspected || isReported(now, *row)) {
        return HealthState::Suspected;
    }
    return row->isSlow ? HealthState::Slow : HealthState::Live;
}

bool HealthTable::isRoutable(TimePoint now, ServerKey server) const
{
    const HealthState it = state(now, server);
    return it == HealthState::Live || it == HealthState::Slow;
}

bool HealthTable::takeProbe(TimePoint now, ServerKey server)
{
    if (state(now, server) != HealthState::Suspected) {
        return false;
    }
    Row &row = m_rows.at(server);
    // At most one probe in progress: otherwise the probes of all entries would overload a returning server.
    if (now - row.lastProbe < (row.isProbeActive ? m_config.probeTimeout : m_config.probePeriod)) {
        return false;
    }
    row.lastProbe = now;
    row.isProbeActive = true;
    return true;
}

double HealthTable::slowness(ServerKey server) const
{
    const Row *row = find(server);
    return row == nullptr || row->latency == 0 || m_median == 0 ? 1 : row->latency / m_median;
}

/** Hysteresis: two thresholds and several ticks keep a server near a threshold from changing with every tick. */
void HealthTable::updateSlow(Row &row) const
{
    const double threshold = m_median * (row.isSlow ? m_config.normalFactor : m_config.slowFactor);
    const bool isAcross = row.isSlow ? row.latency < threshold : row.latency > threshold;
    row.ticksBeyondThreshold = isAcross ? row.ticksBeyondThreshold + 1 : 0;
    if (row.ticksBeyondThreshold >= m_config.slowTicks) {
        row.isSlow = !row.isSlow;
        row.ticksBeyondThreshold = 0;
    }
}

void HealthTable::tick(TimePoint now)
{
    std::vector<double> latencies;
    for (const auto &[key, row] : m_rows) {
        if (row.latency > 0 && isRoutable(now, key)) {
            latencies.push_back(row.latency);
        }
    }
    if (latencies.empty()) {
        return;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    m_median = *middle;
    for (auto &[key, row] : m_rows) {
        updateSlow(row);
    }
}

std::vector<HealthReport> HealthTable::suspects(std::size_t limit) const
{
    std::vector<HealthReport> out;
    for (const auto &[key, row] : m_rows) {
        if (row.isSuspected && row.successes == 0 && out.size() < limit) {
            out.push_back({key, row.incarnation, HealthState::Suspected});
        }
    }
    return out;
}

} // namespace turmericline
