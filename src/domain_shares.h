#pragma once

#include "quota_type.h"

#include <array>
#include <optional>
#include <vector>

namespace turmericline {

/**
 * Share of one failure domain in the limit of one workspace.
 *
 * Every domain has an equal home share and lends what it does not need. Only the borrower can return a loan. Borrowers
 * never hold more than lenders count as lent, even if messages are lost, repeated or late, so the shares of all domains
 * never add up to more than the limit while the owners stay the same. An unreachable domain keeps what it holds, and
 * the lender does not reclaim it.
 */
class DomainShares
{
public:
    /** @p ownership is distinct for every time that a process becomes owner of the workspace. */
    DomainShares(const QuotaOwnerConfig &config, WorkspaceKey workspace, EntryKey ownership, TimePoint now);

    /** Returns the share that this domain may use now. */
    ShareUnits share() const;
    /** Returns the share that this domain has when nothing is lent or borrowed. */
    ShareUnits homeShare() const;
    /** Appends the messages that are due. @p demand is the demand of the domain as a part of the limit. */
    void tick(TimePoint now, ShareUnits demand, std::vector<ShareMessage> &out);

    /** Answers a borrower. Outdated requests and those of a former owner get no answer. */
    std::optional<ShareMessage> onRequest(TimePoint now, const ShareRequest &request);
    void onReply(const ShareReply &reply);
    ShareMessage onProbe(TimePoint now, DomainIndex lender);

    /** Returns all that is borrowed. The object must not be used afterwards. */
    std::vector<ShareMessage> release(TimePoint now);

    /** Returns whether nothing is lent or borrowed, so that the object may be dropped. */
    bool hasNoLoans() const;
    static std::size_t peerBytes();

private:
    /** Loan to one owner in another domain. If two processes there both act as owner, each has its own loan. */
    struct Loan
    {
        EntryKey ownership = 0;
        ShareUnits lent = 0; ///< Upper bound of what the owner holds.
        std::uint32_t sequence = 0; ///< Sequence number of its last request.
        TimePoint lastRequestAt{};
    };

    struct Peer
    {
        std::array<Loan, 3> loans{}; ///< Ordered by last request, the latest first.
        ShareUnits wantedByPeer = 0; ///< Amount that its owner last requested from this domain.
        ShareUnits borrowed = 0; ///< Amount borrowed from that domain.
        ShareUnits wantedFromPeer = 0; ///< Amount last requested from that domain.
        std::uint32_t sentSequence = 0;
        TimePoint sentAt{};
        TimePoint probedAt{};
        std::uint8_t unanswered = 0; ///< Number of requests sent since the last answer.
        bool isInsufficient = false; ///< The last answer lent less than was requested.
        bool isReportDue = false; ///< This domain holds less than it last reported to the lender.
        bool hasReported = false; ///< The domain has reported what it holds since this owner started.

        ShareUnits lent() const
        {
            return loans[0].lent + loans[1].lent + loans[2].lent;
        }
    };

    bool isSelf(std::size_t domain) const;
    ShareUnits reserve() const;
    ShareUnits minShare() const;
    ShareUnits lentTotal() const;
    ShareUnits borrowedTotal() const;
    ShareUnits claimOf(TimePoint now, const Peer &peer) const;
    ShareUnits fairLoan(TimePoint now, DomainIndex borrower) const;
    static Loan *loanOf(Peer &peer, const ShareRequest &request);
    void dropStaleLoans(TimePoint now);
    void startDiscovery(TimePoint now);
    void updateSettled(TimePoint now);
    ShareMessage makeRequest(TimePoint now, DomainIndex to, ShareUnits wanted);
    void returnLoans(ShareUnits surplus);
    void requestLoans(TimePoint now, ShareUnits deficit, std::vector<ShareMessage> &out);
    void reportHoldings(TimePoint now, std::vector<ShareMessage> &out);
    void probe(TimePoint now, bool isRecall, std::vector<ShareMessage> &out);

    QuotaOwnerConfig m_config;
    WorkspaceKey m_workspace;
    EntryKey m_ownership;
    TimePoint m_since; ///< Start of the discovery of what is lent.
    ShareUnits m_demand = 0;
    bool m_isSettled = false; ///< The discovery of what is lent has ended.
    bool m_isDiscoveryStarted = false; ///< There has been demand or a loan request, so what is lent must be discovered.
    std::vector<Peer> m_peers;
};

} // namespace turmericline
