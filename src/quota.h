#pragma once

#include "domain_shares.h"
#include "quota_type.h"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Key of a workspace, equal in every process. */
WorkspaceKey workspaceKey(std::string_view name);

/** Entry that owns the quota of @p workspace among the live entries of a failure domain (rendezvous hash). */
std::optional<EntryKey> quotaOwner(WorkspaceKey workspace, std::span<const EntryKey> liveEntries);

/**
 * Limits of the workspaces that an entry serves. It spends leased amounts; while it has no lease it lets one request
 * pass as a debt and spends its even part of the limit.
 */
class QuotaClient
{
public:
    explicit QuotaClient(QuotaClientConfig config = {});

    /**
     * Decides on one request that is expected to use @p tokens and charges it if it is admitted. @p evenPart is limit / entries in the domain / domains;
     * count the entries of the instance list, not only the live ones, or a partition inflates it.
     */
    QuotaDecision spend(TimePoint now,
                        WorkspaceKey workspace,
                        const QuotaAmount &evenPart,
                        double tokens,
                        SpendAttempt attempt = SpendAttempt::First);
    /** Corrects the charge of an admitted request once the tokens that it used are known. */
    void correct(TimePoint now, WorkspaceKey workspace, double estimated, double used);
    /** Gives back the whole charge of an admitted request that was not run. */
    void refund(TimePoint now, WorkspaceKey workspace, double tokens);

    /** Lease requests that are due; call after spend() and every 50 ms. */
    std::vector<LeaseRequest> takeRequests(TimePoint now);
    void onGrant(TimePoint now, const LeaseGrant &grant);

    std::size_t size() const;
    /** Bytes of one row of the table without the allocator's overhead. */
    static std::size_t rowBytes();

private:
    struct Row
    {
        QuotaAmount balance; ///< Negative: debt.
        QuotaAmount demand; ///< Smoothed, per second.
        QuotaAmount arrived; ///< Since demandSince.
        TimePoint demandSince{};
        TimePoint lastRequest{};
        TimePoint leaseStart{}; ///< When the lease in use was asked for.
        TimePoint leaseEnd{};
        TimePoint lastAsk{};
        TimePoint refilled{};
        float grantedRequests = 0;
        std::uint32_t sequence = 0;
        bool isAwaitingGrant = false;
        bool isRepeatedAsk = false; ///< The last ask before this one was not answered.
        bool isShort = false; ///< The last lease was smaller than the demand.
        bool isQueued = false; ///< Is in m_active.
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    void refill(TimePoint now, Row &row, const QuotaAmount &evenPart) const;
    void expireLease(TimePoint now, Row &row) const;
    void countArrival(TimePoint now, Row &row, double tokens) const;
    bool isAskDue(TimePoint now, const Row &row) const;
    bool canWait(TimePoint now, const Row &row) const;
    std::chrono::milliseconds retryAfter(const Row &row) const;
    void sweep(TimePoint now);

    QuotaClientConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
    std::vector<WorkspaceKey> m_active; ///< Workspaces that had requests since their last lease was asked for.
    TimePoint m_swept{};
};

/** Quota of the workspaces that this entry owns in its failure domain. */
class QuotaOwner
{
public:
    explicit QuotaOwner(QuotaOwnerConfig config);

    /**
     * Answers an entry of the same failure domain; @p limit is the workspace's whole limit per second. A request that is
     * repeated or late gets no answer.
     */
    std::optional<LeaseGrant>
    onLeaseRequest(TimePoint now, EntryKey entry, const LeaseRequest &request, const QuotaAmount &limit);

    std::optional<ShareMessage> onShareRequest(TimePoint now, const ShareRequest &request);
    void onShareReply(TimePoint now, const ShareReply &reply);
    std::optional<ShareMessage> onShareProbe(TimePoint now, const ShareProbe &probe);
    /** Messages to the owners in other domains that are due; call every 100 ms to 1 s. */
    std::vector<ShareMessage> tick(TimePoint now);

    /** Share of this domain in the workspace's limit; 0 while no entry has asked for a lease. */
    ShareUnits share(WorkspaceKey workspace) const;
    /** Forgets a workspace that another entry owns now; the messages give its loans back. */
    std::vector<ShareMessage> release(TimePoint now, WorkspaceKey workspace);
    /** The same for all workspaces, when the process shuts down. */
    std::vector<ShareMessage> releaseAll(TimePoint now);
    std::size_t size() const;
    static std::size_t rowBytes();
    static std::size_t clientBytes();

private:
    struct Client
    {
        EntryKey entry = 0;
        QuotaAmount demand;
        QuotaAmount need; ///< Demand and debt, per second.
        QuotaAmount credit; ///< Its fair part that was not granted yet.
        QuotaAmount granted; ///< Its last lease.
        TimePoint lastAsk{};
        std::uint32_t sequence = 0;
    };

    struct Row
    {
        QuotaAmount limit;
        QuotaAmount level; ///< What may be granted at once.
        TimePoint refilled{};
        TimePoint lastAsk{};
        std::vector<Client> clients;
        DomainShares shares;
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    QuotaAmount rate(const Row &row) const;
    void refill(TimePoint now, Row &row) const;
    Client &clientOf(TimePoint now, Row &row, EntryKey entry) const;
    QuotaAmount outstanding(TimePoint now, const Row &row) const;
    void takeBack(TimePoint now, Row &row, Client &client, const QuotaAmount &balance) const;
    QuotaAmount grantFor(TimePoint now, Row &row, Client &client, const LeaseRequest &request) const;
    ShareUnits demandUnits(TimePoint now, const Row &row) const;
    void sweep(TimePoint now);

    QuotaOwnerConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
    EntryKey m_ownerships = 0; ///< Counts the rows made, so that each has its own identity for other domains.
    TimePoint m_swept{};
};

} // namespace turmericline
