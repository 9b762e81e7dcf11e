#include "domain_shares.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace turmericline {

namespace {

using namespace std::chrono_literals;

// A domain never lends its home share divided by this, so that it can serve some requests when it is cut off.
constexpr ShareUnits minShareDivisor = 16;
// A loan request that has not been renewed for this long no longer competes with those of other borrowers.
constexpr auto claimLifetime = 10s;
constexpr auto requestPeriod = 1s;
// Period for lenders that could not lend enough or do not answer.
constexpr auto slowRequestPeriod = 2s;
// Borrowers renew their loans this often, so that a lender can distinguish them from loans of a former owner.
constexpr auto renewPeriod = 2s;
constexpr auto loanLifetime = 5s;
constexpr auto probePeriod = 1s;
constexpr auto startProbePeriod = 500ms;

ShareUnits scaled(ShareUnits value, unsigned percent)
{
    return static_cast<ShareUnits>(std::uint64_t{value} * percent / 100);
}

} // namespace

DomainShares::DomainShares(const QuotaOwnerConfig &config, WorkspaceKey workspace, EntryKey ownership, TimePoint now)
    : m_config(config)
    , m_workspace(workspace)
    , m_ownership(ownership)
    , m_since(now)
    , m_isSettled(config.domains <= 1)
    , m_peers(config.domains)
{
}

bool DomainShares::isSelf(std::size_t domain) const
{
    return domain == m_config.self;
}

ShareUnits DomainShares::homeShare() const
{
    return wholeShare / m_config.domains;
}

ShareUnits DomainShares::minShare() const
{
    return m_config.domains <= 1 ? homeShare() : homeShare() / minShareDivisor;
}

ShareUnits DomainShares::lentTotal() const
{
    return std::accumulate(m_peers.begin(), m_peers.end(), ShareUnits{0}, [](ShareUnits sum, const Peer &it) {
        return sum + it.lent();
    });
}

ShareUnits DomainShares::borrowedTotal() const
{
    return std::accumulate(m_peers.begin(), m_peers.end(), ShareUnits{0}, [](ShareUnits sum, const Peer &it) {
        return sum + it.borrowed;
    });
}

ShareUnits DomainShares::share() const
{
    // A new owner does not know yet what its predecessor has lent, so it only uses the part that is never lent.
    const ShareUnits own = m_isSettled ? homeShare() - std::min(homeShare(), lentTotal()) : minShare();
    return own + borrowedTotal();
}

ShareUnits DomainShares::reserve() const
{
    return std::clamp(scaled(m_demand, 110), minShare(), homeShare());
}

bool DomainShares::hasNoLoans() const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [](const Peer &it) {
        return it.lent() == 0 && it.borrowed == 0 && !it.isReportDue && it.unanswered == 0;
    });
}

std::size_t DomainShares::peerBytes()
{
    return sizeof(Peer);
}

ShareUnits DomainShares::claimOf(TimePoint now, const Peer &peer) const
{
    return now - peer.loans[0].lastRequestAt < claimLifetime ? std::max(peer.wantedByPeer, peer.lent()) : peer.lent();
}

/** Max-min fair part of @p borrower in what this domain can spare. */
ShareUnits DomainShares::fairLoan(TimePoint now, DomainIndex borrower) const
{
    std::vector<ShareUnits> claimedLoans;
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        if (!isSelf(i) && (i == borrower || claimOf(now, m_peers[i]) > 0)) {
            claimedLoans.push_back(i == borrower ? m_peers[i].wantedByPeer : claimOf(now, m_peers[i]));
        }
    }
    std::sort(claimedLoans.begin(), claimedLoans.end());
    ShareUnits left = homeShare() - reserve();
    ShareUnits level = 0;
    for (std::size_t i = 0; i < claimedLoans.size(); ++i) {
        level = std::min(claimedLoans[i], static_cast<ShareUnits>(left / (claimedLoans.size() - i)));
        left -= level;
    }
    return std::min(m_peers[borrower].wantedByPeer, level);
}

/** Returns the loan of the sender, moved to the front; null if a newer request of the sender has been processed. */
DomainShares::Loan *DomainShares::loanOf(Peer &peer, const ShareRequest &request)
{
    auto it = std::find_if(peer.loans.begin(), peer.loans.end(), [&](const Loan &loan) {
        return loan.ownership == request.ownership;
    });
    if (it != peer.loans.end() && request.sequence <= it->sequence) {
        return nullptr;
    }
    if (it == peer.loans.end()) {
        it = std::prev(peer.loans.end());
        *it = Loan{request.ownership, 0, 0, {}};
    }
    std::rotate(peer.loans.begin(), it, std::next(it));
    return peer.loans.data();
}

/** Ends the loans of owners that have stopped sending requests while another owner of the same domain sends them. */
void DomainShares::dropStaleLoans(TimePoint now)
{
    for (Peer &peer : m_peers) {
        for (auto it = std::next(peer.loans.begin()); it != peer.loans.end(); ++it) {
            if (peer.loans[0].lastRequestAt - it->lastRequestAt > loanLifetime
                && now - it->lastRequestAt > loanLifetime) {
                it->lent = 0;
            }
        }
    }
}

/** Starts the discovery of what is lent. A workspace without demand in this domain sends no messages. */
void DomainShares::startDiscovery(TimePoint now)
{
    if (!m_isDiscoveryStarted) {
        m_isDiscoveryStarted = true;
        m_since = now;
    }
}

void DomainShares::updateSettled(TimePoint now)
{
    if (m_isSettled || !m_isDiscoveryStarted) {
        return;
    }
    const auto reportedCount = std::count_if(m_peers.begin(), m_peers.end(), [](const Peer &it) {
        return it.hasReported;
    });
    // An unreachable domain must not limit this one indefinitely; see the bound in limits-and-fairness.md.
    m_isSettled = reportedCount + 1 >= m_config.domains || now - m_since >= m_config.settleTime;
}

std::optional<ShareMessage> DomainShares::onRequest(TimePoint now, const ShareRequest &request)
{
    if (request.from >= m_peers.size() || isSelf(request.from)) {
        return std::nullopt;
    }
    Peer &peer = m_peers[request.from];
    Loan *loan = loanOf(peer, request);
    if (loan == nullptr) {
        return std::nullopt;
    }
    *loan = {request.ownership, request.held, request.sequence, now};
    peer.hasReported = true;
    peer.wantedByPeer = request.wanted;
    if (request.wanted > request.held) {
        startDiscovery(now);
    }
    updateSettled(now);
    const ShareUnits others = lentTotal() - request.held;
    const ShareUnits room = homeShare() - std::min(homeShare(), reserve() + others);
    const ShareUnits part = m_isSettled ? std::min(fairLoan(now, request.from), room) : std::min(request.held, room);
    // The borrower holds the old amount until it gets this answer, and the new amount afterwards.
    loan->lent = std::max(request.held, part);
    return ShareMessage{request.from,
                        ShareReply{m_workspace, m_config.self, request.ownership, request.sequence, part}};
}

void DomainShares::onReply(const ShareReply &reply)
{
    if (reply.from >= m_peers.size() || isSelf(reply.from) || reply.ownership != m_ownership) {
        return;
    }
    Peer &peer = m_peers[reply.from];
    // Only the answer to the latest request is valid: the lender has already replaced the earlier ones.
    if (peer.unanswered == 0 || reply.sequence != peer.sentSequence) {
        return;
    }
    peer.unanswered = 0;
    peer.isReportDue = peer.isReportDue || reply.lent < peer.borrowed;
    peer.isInsufficient = reply.lent < peer.wantedFromPeer;
    peer.borrowed = reply.lent;
}

ShareMessage DomainShares::onProbe(TimePoint now, DomainIndex lender)
{
    return makeRequest(now, lender, m_peers[lender].borrowed);
}

ShareMessage DomainShares::makeRequest(TimePoint now, DomainIndex to, ShareUnits wanted)
{
    Peer &peer = m_peers[to];
    peer.sentAt = now;
    peer.isReportDue = false;
    peer.wantedFromPeer = wanted;
    peer.unanswered = static_cast<std::uint8_t>(std::min(peer.unanswered + 1, 255));
    ++peer.sentSequence;
    return {to, ShareRequest{m_workspace, m_config.self, m_ownership, peer.sentSequence, peer.borrowed, wanted}};
}

void DomainShares::returnLoans(ShareUnits surplus)
{
    for (Peer &it : m_peers) {
        const ShareUnits part = std::min(surplus, it.borrowed);
        it.borrowed -= part;
        surplus -= part;
        it.isReportDue = it.isReportDue || part > 0;
    }
}

std::vector<ShareMessage> DomainShares::release(TimePoint now)
{
    returnLoans(borrowedTotal());
    std::vector<ShareMessage> out;
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        if (m_peers[i].isReportDue) {
            out.push_back(makeRequest(now, static_cast<DomainIndex>(i), 0));
        }
    }
    return out;
}

void DomainShares::requestLoans(TimePoint now, ShareUnits deficit, std::vector<ShareMessage> &out)
{
    const auto able = std::count_if(m_peers.begin(),
                                    m_peers.end(),
                                    [](const Peer &it) {
                                        return !it.isInsufficient;
                                    })
                      - 1;
    const auto parts = static_cast<ShareUnits>(able > 0 ? able : m_config.domains - 1);
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        const Peer &peer = m_peers[i];
        const auto period = peer.isInsufficient || peer.unanswered > 2 ? slowRequestPeriod : requestPeriod;
        if (!isSelf(i) && now - peer.sentAt >= period) {
            out.push_back(makeRequest(now, static_cast<DomainIndex>(i), peer.borrowed + deficit / parts + 1));
        }
    }
}

/** Reports the held amounts to lenders whose information is missing, outdated or due for renewal. */
void DomainShares::reportHoldings(TimePoint now, std::vector<ShareMessage> &out)
{
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        const Peer &peer = m_peers[i];
        const auto period = peer.unanswered > 2 ? slowRequestPeriod : requestPeriod;
        const bool isLost = peer.unanswered > 0 && now - peer.sentAt >= period;
        const bool isRenewal = peer.borrowed > 0 && now - peer.sentAt >= renewPeriod;
        if (!isSelf(i) && (isLost || isRenewal || (peer.isReportDue && peer.unanswered == 0))) {
            out.push_back(makeRequest(now, static_cast<DomainIndex>(i), peer.borrowed));
        }
    }
}

void DomainShares::probe(TimePoint now, bool isRecall, std::vector<ShareMessage> &out)
{
    for (std::size_t i = 0; i < m_peers.size(); ++i) {
        Peer &peer = m_peers[i];
        // A domain that was unreachable when this owner started may still hold a loan of the former owner.
        const auto unreportedPeriod = m_isSettled ? slowRequestPeriod : startProbePeriod;
        const bool isDue = (m_isDiscoveryStarted && !peer.hasReported) || (isRecall && peer.lent() > 0);
        if (!isSelf(i) && isDue && now - peer.probedAt >= (peer.hasReported ? probePeriod : unreportedPeriod)) {
            peer.probedAt = now;
            out.push_back({static_cast<DomainIndex>(i), ShareProbe{m_workspace, m_config.self}});
        }
    }
}

void DomainShares::tick(TimePoint now, ShareUnits demand, std::vector<ShareMessage> &out)
{
    m_demand = demand;
    if (demand > 0) {
        startDiscovery(now);
    }
    updateSettled(now);
    dropStaleLoans(now);
    const ShareUnits target = scaled(demand, 110);
    const ShareUnits upperTarget = scaled(demand, 130);
    const bool needsLoan = target > share() + homeShare() / 50;
    probe(now, needsLoan, out);
    if (!m_isSettled) {
        return;
    }
    if (share() > upperTarget && borrowedTotal() > 0) {
        returnLoans(std::min(share() - upperTarget, borrowedTotal()));
    }
    if (needsLoan && demand > 0) {
        requestLoans(now, target - share(), out);
    }
    reportHoldings(now, out);
}

} // namespace turmericline
