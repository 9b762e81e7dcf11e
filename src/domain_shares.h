#pragma once

#include "quota_type.h"

#include <array>
#include <optional>
#include <vector>

namespace turmericline {

/**
 * Share of one failure domain in one workspace's limit.
 *
 * Every domain has an equal home share. It lends what it does not need; only the borrower can give a loan back. What
 * borrowers hold is never more than what lenders count as lent, whatever messages are lost, repeated or late, so the
 * shares of all domains never add up to more than the whole while the owners stay the same. A domain that is not heard
 * from keeps what it holds and the lender does not take it back.
 */
class DomainShares
{
public:
    /** @p ownership differs for every time that a process becomes owner of the workspace. */
    DomainShares(const QuotaOwnerConfig &config, WorkspaceKey workspace, EntryKey ownership, TimePoint now);

    /** Share that this domain may use now. */
    ShareUnits share() const;
    /** Share that this domain has when nothing is lent. */
    ShareUnits home() const;
    /** Adds the messages that are due; @p demand is the domain's demand as a part of the limit, in units. */
    void tick(TimePoint now, ShareUnits demand, std::vector<ShareMessage> &out);

    /** Answers a borrower; a request that is late or from a former owner gets no answer. */
    std::optional<ShareMessage> onRequest(TimePoint now, const ShareRequest &request);
    void onReply(const ShareReply &reply);
    ShareMessage onProbe(TimePoint now, DomainIndex lender);

    /** Gives everything back; the state must not be used afterwards. */
    std::vector<ShareMessage> release(TimePoint now);

    /** Whether nothing is lent or borrowed, so that the state may be dropped. */
    bool isAtHome() const;
    static std::size_t peerBytes();

private:
    /** What one owner in another domain holds from here; owners that disagree on who is owner are counted apart. */
    struct Loan
    {
        EntryKey ownership = 0;
        ShareUnits lent = 0; ///< Most that it can hold.
        std::uint32_t sequence = 0; ///< Of its last request.
        TimePoint heardAt{};
    };

    struct Peer
    {
        std::array<Loan, 3> loans{}; ///< Last heard first.
        ShareUnits wish = 0; ///< What its owner last wanted to hold from here.
        ShareUnits borrowed = 0; ///< Held from this domain.
        ShareUnits asked = 0; ///< What this domain last wanted to hold from it.
        std::uint32_t sentSequence = 0;
        TimePoint sentAt{};
        TimePoint probedAt{};
        std::uint8_t unanswered = 0; ///< Requests sent since the last answer.
        bool isShort = false; ///< Lent less than was asked for the last time.
        bool isReportDue = false; ///< Holds less than the lender was last told.
        bool isHeard = false; ///< Has told what it holds since this owner started.

        ShareUnits lent() const
        {
            return loans[0].lent + loans[1].lent + loans[2].lent;
        }
    };

    bool isSelf(std::size_t domain) const;
    ShareUnits reserve() const;
    ShareUnits floorShare() const;
    ShareUnits lentTotal() const;
    ShareUnits borrowedTotal() const;
    ShareUnits wishOf(TimePoint now, const Peer &peer) const;
    ShareUnits fairLoan(TimePoint now, DomainIndex borrower) const;
    static Loan *loanOf(Peer &peer, const ShareRequest &request);
    void dropFormerLoans(TimePoint now);
    void need(TimePoint now);
    void updateSettled(TimePoint now);
    ShareMessage makeRequest(TimePoint now, DomainIndex to, ShareUnits wanted);
    void giveBack(ShareUnits surplus);
    void ask(TimePoint now, ShareUnits deficit, std::vector<ShareMessage> &out);
    void report(TimePoint now, std::vector<ShareMessage> &out);
    void probe(TimePoint now, bool isRecall, std::vector<ShareMessage> &out);

    QuotaOwnerConfig m_config;
    WorkspaceKey m_workspace;
    EntryKey m_ownership;
    TimePoint m_since; ///< Since when it has been finding out what is lent.
    ShareUnits m_demand = 0;
    bool m_isSettled = false;
    bool m_isNeeded = false; ///< Has demand or was asked for a loan, so it must find out what is lent.
    std::vector<Peer> m_peers;
};

} // namespace turmericline
