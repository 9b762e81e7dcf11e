#include "quota.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace turmericline {

namespace {

using namespace std::chrono_literals;

// Entries that have not requested a lease for this long are no longer considered when the quota is divided.
constexpr auto clientLifetime = 2500ms;
constexpr auto sweepPeriod = 10s;
// Leases exceed the demand by this fraction while more than half of the owner's burst is left.
constexpr double headroom = 0.25;

double seconds(TimePoint::duration d)
{
    return std::chrono::duration<double>(d).count();
}

QuotaAmount operator*(const QuotaAmount &a, double factor)
{
    return {a.requests * factor, a.tokens * factor};
}

/** Max-min fair part of a participant that wants @p wanted, plus an even part of what is left over. */
double maxMinPart(std::vector<double> demands, double total, double wanted)
{
    std::sort(demands.begin(), demands.end());
    double left = total;
    double level = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        level = std::min(demands[i], left / static_cast<double>(demands.size() - i));
        left -= level;
    }
    return std::min(wanted, level) + left / static_cast<double>(std::max<std::size_t>(demands.size(), 1));
}

/** Amount to grant: up to @p base within the fair credit, and the surplus only from a bucket more than half full. */
double grantAmount(double &level, double &credit, double base, double extra, double capacity)
{
    const double fair = std::max(0.0, std::min({base, credit, level}));
    const double surplus = std::clamp(level - fair - capacity / 2, 0.0, extra + base - fair);
    return fair + surplus;
}

} // namespace

WorkspaceKey workspaceKey(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

std::optional<EntryKey> quotaOwner(WorkspaceKey workspace, std::span<const EntryKey> liveEntries)
{
    std::optional<EntryKey> best;
    std::uint64_t bestScore = 0;
    for (const EntryKey it : liveEntries) {
        const std::uint64_t score = XXH64(&it, sizeof it, workspace);
        if (!best || score > bestScore || (score == bestScore && it > *best)) {
            best = it;
            bestScore = score;
        }
    }
    return best;
}

QuotaOwner::QuotaOwner(QuotaOwnerConfig config)
    : m_config(config)
{
}

QuotaOwner::Row &QuotaOwner::rowOf(TimePoint now, WorkspaceKey workspace)
{
    const auto it = m_rows.find(workspace);
    if (it != m_rows.end()) {
        return it->second;
    }
    const EntryKey ownership = m_config.incarnation + ++m_ownerships;
    Row row{{}, {}, now, now, {}, DomainShares(m_config, workspace, ownership, now)};
    return m_rows.emplace(workspace, std::move(row)).first->second;
}

QuotaAmount QuotaOwner::rate(const Row &row) const
{
    return row.limit * (static_cast<double>(row.shares.share()) / wholeShare);
}

/** Sum of the leases that may still be spent. */
QuotaAmount QuotaOwner::outstanding(TimePoint now, const Row &row) const
{
    QuotaAmount sum;
    for (const Client &it : row.clients) {
        if (now - it.lastLeaseRequest < m_config.lease) {
            sum.requests += it.granted.requests;
            sum.tokens += it.granted.tokens;
        }
    }
    return sum;
}

void QuotaOwner::refill(TimePoint now, Row &row) const
{
    const double elapsed = seconds(now - row.refilled);
    const QuotaAmount perSecond = rate(row);
    row.refilled = now;
    // With limits below one request per lease time, the bucket must still be able to hold a whole request.
    const QuotaAmount burst{std::max(1.0, perSecond.requests * seconds(m_config.lease)),
                            perSecond.tokens * seconds(m_config.lease)};
    // Level and outstanding leases together never exceed two bursts. The bound on the total spending relies on this.
    const QuotaAmount leased = outstanding(now, row);
    const auto fill = [](double level, double earned, double full, double out) {
        return std::min(level + earned, std::clamp(2 * full - out, 0.0, full));
    };
    row.level.requests = fill(row.level.requests, perSecond.requests * elapsed, burst.requests, leased.requests);
    row.level.tokens = fill(row.level.tokens, perSecond.tokens * elapsed, burst.tokens, leased.tokens);
}

/** Returns the unspent rest of a lease to the bucket and to the credit of the entry that held it. */
void QuotaOwner::reclaimLease(TimePoint now, Row &row, Client &client, const QuotaAmount &balance) const
{
    if (now - client.lastLeaseRequest < m_config.lease) {
        const QuotaAmount rest{std::clamp(balance.requests, 0.0, client.granted.requests),
                               std::clamp(balance.tokens, 0.0, client.granted.tokens)};
        row.level = {row.level.requests + rest.requests, row.level.tokens + rest.tokens};
        client.credit = {client.credit.requests + rest.requests, client.credit.tokens + rest.tokens};
    }
    client.granted = {};
}

QuotaOwner::Client &QuotaOwner::clientOf(TimePoint now, Row &row, EntryKey entry) const
{
    std::erase_if(row.clients, [&](const Client &it) {
        return it.entry != entry && now - it.lastLeaseRequest > clientLifetime;
    });
    const auto it = std::find_if(row.clients.begin(), row.clients.end(), [&](const Client &c) {
        return c.entry == entry;
    });
    return it != row.clients.end() ? *it
                                   : row.clients.emplace_back(Client{entry, {}, {}, {}, {}, now - m_config.lease, 0});
}

QuotaAmount QuotaOwner::grantFor(TimePoint now, Row &row, Client &client, const LeaseRequest &request) const
{
    const double lease = seconds(m_config.lease);
    const double elapsed = std::min(seconds(now - client.lastLeaseRequest), lease);
    const QuotaAmount perSecond = rate(row);
    const QuotaAmount need{request.demand.requests * lease + std::max(0.0, -request.balance.requests),
                           request.demand.tokens * lease + std::max(0.0, -request.balance.tokens)};
    client.demand = request.demand;
    client.need = {need.requests / lease, need.tokens / lease};
    client.lastLeaseRequest = now;
    std::vector<double> requests;
    std::vector<double> tokens;
    for (const Client &it : row.clients) {
        requests.push_back(it.need.requests);
        tokens.push_back(it.need.tokens);
    }
    const QuotaAmount fair{maxMinPart(std::move(requests), perSecond.requests, client.need.requests),
                           maxMinPart(std::move(tokens), perSecond.tokens, client.need.tokens)};
    client.credit.requests
        = std::min(client.credit.requests + fair.requests * elapsed, std::max(1.0, fair.requests * lease));
    client.credit.tokens = std::min(client.credit.tokens + fair.tokens * elapsed, fair.tokens * lease);
    const double capacity = std::max(1.0, perSecond.requests * lease);
    QuotaAmount grant{
        grantAmount(row.level.requests, client.credit.requests, need.requests, need.requests * headroom + 1, capacity),
        grantAmount(
            row.level.tokens, client.credit.tokens, need.tokens, need.tokens * headroom, perSecond.tokens * lease)};
    // A fraction of a request cannot be spent, so it stays as credit. A larger credit must not be kept: what the bucket
    // could not cover now would later be taken from the part of other entries.
    grant.requests = std::floor(grant.requests + 1e-9);
    client.credit = {std::clamp(client.credit.requests - grant.requests, 0.0, 1.0), 0};
    row.level.requests -= grant.requests;
    row.level.tokens -= grant.tokens;
    client.granted = grant;
    return grant;
}

std::optional<LeaseGrant>
QuotaOwner::onLeaseRequest(TimePoint now, EntryKey entry, const LeaseRequest &request, const QuotaAmount &limit)
{
    Row &row = rowOf(now, request.workspace);
    const bool isFirst = row.limit == QuotaAmount{};
    refill(now, row);
    row.limit = limit;
    row.lastLeaseRequest = now;
    if (isFirst) {
        const QuotaAmount burst = rate(row) * seconds(m_config.lease);
        row.level = {std::max(1.0, burst.requests), burst.tokens};
    }
    Client &client = clientOf(now, row, entry);
    // A repeated request would return the rest of the lease twice.
    if (request.sequence <= client.sequence) {
        return std::nullopt;
    }
    client.sequence = request.sequence;
    reclaimLease(now, row, client, request.balance);
    return LeaseGrant{request.workspace, request.sequence, grantFor(now, row, client, request)};
}

ShareUnits QuotaOwner::demandUnits(TimePoint now, const Row &row) const
{
    QuotaAmount sum;
    for (const Client &it : row.clients) {
        if (now - it.lastLeaseRequest <= clientLifetime) {
            sum.requests += it.demand.requests;
            sum.tokens += it.demand.tokens;
        }
    }
    const double requests = row.limit.requests > 0 ? sum.requests / row.limit.requests : 0;
    const double tokens = row.limit.tokens > 0 ? sum.tokens / row.limit.tokens : 0;
    return static_cast<ShareUnits>(std::min(1.0, std::max(requests, tokens)) * wholeShare);
}

std::vector<ShareMessage> QuotaOwner::tick(TimePoint now)
{
    std::vector<ShareMessage> out;
    for (auto &[key, row] : m_rows) {
        refill(now, row);
        row.shares.tick(now, demandUnits(now, row), out);
    }
    sweep(now);
    return out;
}

void QuotaOwner::sweep(TimePoint now)
{
    if (now - m_swept < sweepPeriod) {
        return;
    }
    m_swept = now;
    std::erase_if(m_rows, [&](const auto &it) {
        return now - it.second.lastLeaseRequest > m_config.idleAfter && it.second.shares.hasNoLoans();
    });
}

std::optional<ShareMessage> QuotaOwner::onShareRequest(TimePoint now, const ShareRequest &request)
{
    Row &row = rowOf(now, request.workspace);
    refill(now, row);
    return row.shares.onRequest(now, request);
}

void QuotaOwner::onShareReply(TimePoint now, const ShareReply &reply)
{
    const auto it = m_rows.find(reply.workspace);
    if (it != m_rows.end()) {
        refill(now, it->second);
        it->second.shares.onReply(reply);
    }
}

std::optional<ShareMessage> QuotaOwner::onShareProbe(TimePoint now, const ShareProbe &probe)
{
    if (probe.from >= m_config.domains || probe.from == m_config.self) {
        return std::nullopt;
    }
    Row &row = rowOf(now, probe.workspace);
    refill(now, row);
    return row.shares.onProbe(now, probe.from);
}

ShareUnits QuotaOwner::share(WorkspaceKey workspace) const
{
    const auto it = m_rows.find(workspace);
    return it == m_rows.end() ? 0 : it->second.shares.share();
}

std::vector<ShareMessage> QuotaOwner::release(TimePoint now, WorkspaceKey workspace)
{
    const auto it = m_rows.find(workspace);
    if (it == m_rows.end()) {
        return {};
    }
    auto out = it->second.shares.release(now);
    m_rows.erase(it);
    return out;
}

std::vector<ShareMessage> QuotaOwner::releaseAll(TimePoint now)
{
    std::vector<ShareMessage> out;
    for (auto &[key, row] : m_rows) {
        const auto messages = row.shares.release(now);
        out.insert(out.end(), messages.begin(), messages.end());
    }
    m_rows.clear();
    return out;
}

std::size_t QuotaOwner::size() const
{
    return m_rows.size();
}

std::size_t QuotaOwner::rowBytes()
{
    return sizeof(std::pair<const WorkspaceKey, Row>);
}

std::size_t QuotaOwner::clientBytes()
{
    return sizeof(Client);
}

} // namespace turmericline
