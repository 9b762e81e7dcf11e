#include "quota.h"

#include <algorithm>
#include <cmath>

namespace turmericline {

namespace {

using namespace std::chrono_literals;

constexpr auto demandWindow = 500ms;
constexpr double smoothing = 0.3;
constexpr auto sweepPeriod = 10s;
// The next lease is requested when this part of the lease time has passed, or this part of its requests is left.
constexpr double renewalAge = 0.7;
constexpr double renewalRemainder = 0.25;

double seconds(TimePoint::duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

QuotaClient::QuotaClient(QuotaClientConfig config)
    : m_config(config)
{
}

QuotaClient::Row &QuotaClient::rowOf(TimePoint now, WorkspaceKey workspace)
{
    const auto [it, isNew] = m_rows.try_emplace(workspace);
    Row &row = it->second;
    if (isNew) {
        row.demandWindowStart = row.refilled = now;
    }
    if (!row.isQueued) {
        row.isQueued = true;
        m_active.push_back(workspace);
    }
    return row;
}

/** Between leases the balance grows by the even part of the limit, which first pays off any debt. */
void QuotaClient::refill(TimePoint now, Row &row, const QuotaAmount &evenPart) const
{
    const double elapsed = std::max(0.0, seconds(now - std::max(row.refilled, row.leaseEnd)));
    const double burst = seconds(m_config.lease);
    row.refilled = now;
    row.balance.requests
        = std::min(row.balance.requests + evenPart.requests * elapsed, std::max(0.0, evenPart.requests * burst));
    row.balance.tokens = std::min(row.balance.tokens + evenPart.tokens * elapsed, evenPart.tokens * burst);
}

void QuotaClient::expireLease(TimePoint now, Row &row) const
{
    if (now >= row.leaseEnd && row.refilled < row.leaseEnd) {
        row.balance.requests = std::min(row.balance.requests, 0.0);
        row.balance.tokens = std::min(row.balance.tokens, 0.0);
        row.refilled = row.leaseEnd;
    }
}

void QuotaClient::countArrival(TimePoint now, Row &row, double tokens) const
{
    const auto elapsed = now - row.demandWindowStart;
    if (elapsed >= demandWindow) {
        const double rate = 1 / seconds(elapsed);
        // Large changes apply at once. Otherwise the average must be unbiased, because owners reserve quota for it.
        const double expected = row.demand.requests * seconds(elapsed);
        const bool isRise = row.arrived.requests > std::max(4.0, 2 * expected);
        const bool isFall = expected > 16 && row.arrived.requests < expected / 2;
        const double part = isRise || isFall ? 1 : row.arrived.requests < expected / 2 ? 2 * smoothing : smoothing;
        const auto smooth = [rate, part](double old, double arrived) {
            return old + part * (arrived * rate - old);
        };
        row.demand = {smooth(row.demand.requests, row.arrived.requests), smooth(row.demand.tokens, row.arrived.tokens)};
        row.arrived = {};
        row.demandWindowStart = now;
    }
    row.arrived.requests += 1;
    row.arrived.tokens += tokens;
    row.lastRequest = now;
}

bool QuotaClient::canWait(TimePoint now, const Row &row) const
{
    if (row.isInsufficient || (row.isAwaitingGrant && row.isRepeatedRequest)) {
        return false;
    }
    return !row.isAwaitingGrant || now - row.lastLeaseRequest < m_config.longestWait;
}

std::chrono::milliseconds QuotaClient::retryAfter(const Row &row) const
{
    // With a demand of d and leases of g requests per second, a request is admitted after about d / g seconds.
    const double turns = (row.demand.requests + 1) / std::max(0.1, static_cast<double>(row.grantedRequests));
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(turns, 0.2, 10.0) * 1000));
}

QuotaDecision QuotaClient::spend(
    TimePoint now, WorkspaceKey workspace, const QuotaAmount &evenPart, double tokens, SpendAttempt attempt)
{
    Row &row = rowOf(now, workspace);
    if (attempt == SpendAttempt::First) {
        countArrival(now, row, tokens);
    }
    expireLease(now, row);
    const bool hasLease = now < row.leaseEnd;
    if (!hasLease) {
        refill(now, row, evenPart);
    }
    // One request may overdraw, so that an idle entry need not wait for its first lease, nor a large request for a
    // lease that covers it.
    const bool canPay = hasLease ? row.balance.requests >= 1 && row.balance.tokens > 0
                                 : row.balance.requests >= 0 && row.balance.tokens >= 0;
    const bool mayWait = attempt == SpendAttempt::First && canWait(now, row);
    if (canPay && (hasLease || m_config.allowsOverdraft || !mayWait)) {
        row.balance.requests -= 1;
        row.balance.tokens -= tokens;
        return {QuotaVerdict::Admit, !hasLease, {}};
    }
    if (mayWait) {
        return {QuotaVerdict::Wait, !hasLease, m_config.longestWait};
    }
    return {QuotaVerdict::Refuse, !hasLease, retryAfter(row)};
}

void QuotaClient::correct(TimePoint now, WorkspaceKey workspace, double estimated, double used)
{
    Row &row = rowOf(now, workspace);
    expireLease(now, row);
    row.balance.tokens += estimated - used;
}

void QuotaClient::refund(TimePoint now, WorkspaceKey workspace, double tokens)
{
    Row &row = rowOf(now, workspace);
    expireLease(now, row);
    row.balance.tokens += tokens;
    row.balance.requests += 1;
}

bool QuotaClient::isLeaseRequestDue(TimePoint now, const Row &row) const
{
    const bool isDemanded = row.lastRequest > row.leaseStart;
    const bool isInDebt = row.balance.requests < 0 || row.balance.tokens < 0;
    if (!isDemanded && !isInDebt) {
        return false;
    }
    if (now - row.lastLeaseRequest < (row.isInsufficient || row.isRepeatedRequest ? m_config.insufficientLeaseInterval
                                                                                  : m_config.leaseRequestInterval)) {
        return false;
    }
    const bool isOld = now - row.leaseStart >= m_config.lease * renewalAge;
    return isOld || row.balance.requests < std::max(1.0, row.grantedRequests * renewalRemainder)
           || row.balance.tokens <= 0;
}

std::vector<LeaseRequest> QuotaClient::takeDueRequests(TimePoint now)
{
    std::vector<LeaseRequest> due;
    std::erase_if(m_active, [&](WorkspaceKey key) {
        Row &row = m_rows.at(key);
        expireLease(now, row);
        if (isLeaseRequestDue(now, row)) {
            row.isRepeatedRequest = row.isAwaitingGrant;
            row.isAwaitingGrant = true;
            row.lastLeaseRequest = now;
            const double span = std::max(1.0, seconds(now - row.demandWindowStart));
            const QuotaAmount demand{std::max(row.demand.requests, row.arrived.requests / span),
                                     std::max(row.demand.tokens, row.arrived.tokens / span)};
            due.push_back({key, ++row.sequence, demand, row.balance});
            // The request returns the rest to the owner, so it must not be spent; requests wait for the grant.
            row.balance = {std::min(row.balance.requests, 0.0), std::min(row.balance.tokens, 0.0)};
        }
        const bool isIdle = now >= row.leaseEnd && now - row.lastRequest > m_config.lease * 2;
        const bool isOwing = row.balance.requests < 0 || row.balance.tokens < 0;
        row.isQueued = !isIdle || isOwing;
        return !row.isQueued;
    });
    sweep(now);
    return due;
}

void QuotaClient::sweep(TimePoint now)
{
    if (now - m_swept < sweepPeriod) {
        return;
    }
    m_swept = now;
    std::erase_if(m_rows, [&](const auto &it) {
        return !it.second.isQueued && now - it.second.lastRequest > m_config.idleAfter;
    });
}

void QuotaClient::onGrant(TimePoint now, const LeaseGrant &grant)
{
    const auto it = m_rows.find(grant.workspace);
    if (it == m_rows.end() || !it->second.isAwaitingGrant || it->second.sequence != grant.sequence) {
        return;
    }
    Row &row = it->second;
    expireLease(now, row);
    row.isAwaitingGrant = row.isRepeatedRequest = false;
    if (now >= row.lastLeaseRequest + m_config.lease) {
        return; // The grant arrived after the end of its lease.
    }
    row.balance = {std::min(row.balance.requests, 0.0) + grant.amount.requests,
                   std::min(row.balance.tokens, 0.0) + grant.amount.tokens};
    row.leaseStart = row.lastLeaseRequest;
    row.leaseEnd = row.lastLeaseRequest + m_config.lease;
    row.refilled = row.lastLeaseRequest;
    row.grantedRequests = static_cast<float>(grant.amount.requests);
    // A lease is sufficient if it lasts until the next one is due.
    const double period = seconds(m_config.lease) * renewalAge * 0.9;
    row.isInsufficient = row.balance.requests < std::floor(row.demand.requests * period) || row.balance.tokens <= 0;
}

std::size_t QuotaClient::size() const
{
    return m_rows.size();
}

std::size_t QuotaClient::rowBytes()
{
    return sizeof(std::pair<const WorkspaceKey, Row>) + sizeof(WorkspaceKey);
}

} // namespace turmericline
