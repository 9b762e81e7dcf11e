#pragma once

#include "quota_type.h"

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
    DomainShares(const QuotaOwnerConfig &config, WorkspaceKey workspace, TimePoint now);

    /** Share that this domain may use now. */
    ShareUnits share() const;
    /** Share that this domain has when nothing is lent. */
    ShareUnits home() const;
    /** Adds the messages that are due; @p demand is the domain's demand as a part of the limit, in units. */
    void tick(TimePoint now, ShareUnits demand, std::vector<ShareMessage> &out);

    std::optional<ShareMessage> onRequest(TimePoint now, const ShareRequest &request);
    void onReply(TimePoint now, const ShareReply &reply);
    ShareMessage onProbe(const ShareProbe &probe);

    /** Whether nothing is lent or borrowed, so that the state may be dropped. */
    bool isAtHome() const;

private:
    struct Peer
    {
        ShareUnits borrowed = 0; ///< Held from this domain.
        ShareUnits lent = 0; ///< Most that this domain's owner can hold from here.
        ShareUnits lentTarget = 0; ///< Last answer to it.
        ShareUnits wanted = 0; ///< Its last wish.
        std::uint32_t sentSequence = 0;
        std::uint32_t heardSequence = 0;
        EntryKey heardIncarnation = 0;
        TimePoint lastSent{};
        bool isAwaitingReply = false;
        bool isShort = false; ///< Lent less than was asked for the last time.
        bool isHeard = false; ///< Has told what it holds since this owner started.
    };

    ShareMessage makeRequest(DomainIndex to);
    ShareUnits targetFor(DomainIndex borrower) const;
    void giveBack(ShareUnits surplus);
    ShareUnits lentTotal() const;
    ShareUnits borrowedTotal() const;
    ShareUnits lentCap(TimePoint now) const;
    void ask(TimePoint now, ShareUnits deficit, std::vector<ShareMessage> &out);
    void probe(TimePoint now, std::vector<ShareMessage> &out);

    QuotaOwnerConfig m_config;
    WorkspaceKey m_workspace;
    TimePoint m_since;
    TimePoint m_now;
    ShareUnits m_demand = 0;
    std::vector<Peer> m_peers;
};

} // namespace turmericline
