#pragma once

#include "domain_shares.h"
#include "quota_type.h"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Returns the key of a workspace, which is the same in every process. */
WorkspaceKey workspaceKey(std::string_view name);

/** Returns which of the live entries of a failure domain owns the quota of @p workspace (rendezvous hashing). */
std::optional<EntryKey> quotaOwner(WorkspaceKey workspace, std::span<const EntryKey> liveEntries);

/**
 * Enforces the limits of workspaces at an entry. The entry spends leased amounts. While it has no lease, it admits one
 * request as a debt and otherwise spends its even part of the limit.
 */
class QuotaClient
{
public:
    explicit QuotaClient(QuotaClientConfig config = {});

    /**
     * Decides on one request that is expected to use @p tokens, and charges it if it is admitted. @p evenPart is
     * limit / entries in the domain / domains. It must be computed from all entries of the instance list, not only the
     * live ones; otherwise a partition would inflate it.
     */
    QuotaDecision spend(TimePoint now,
                        WorkspaceKey workspace,
                        const QuotaAmount &evenPart,
                        double tokens,
                        SpendAttempt attempt = SpendAttempt::First);
    /** Corrects the charge of an admitted request when the number of tokens that it used is known. */
    void correct(TimePoint now, WorkspaceKey workspace, double estimated, double used);
    /** Refunds the whole charge of an admitted request that was not run. */
    void refund(TimePoint now, WorkspaceKey workspace, double tokens);

    /** Returns the lease requests that are due. Call it after spend() and every 50 ms. */
    std::vector<LeaseRequest> takeDueRequests(TimePoint now);
    void onGrant(TimePoint now, const LeaseGrant &grant);

    std::size_t size() const;
    /** Size of a table row in bytes, without the overhead of the allocator. */
    static std::size_t rowBytes();

private:
    struct Row
    {
        QuotaAmount balance; ///< Rest of the lease; negative for a debt.
        QuotaAmount demand; ///< Smoothed rate per second.
        QuotaAmount arrived; ///< Requested since demandWindowStart.
        TimePoint demandWindowStart{};
        TimePoint lastRequest{};
        TimePoint leaseStart{}; ///< When the current lease was requested.
        TimePoint leaseEnd{};
        TimePoint lastLeaseRequest{};
        TimePoint refilled{};
        float grantedRequests = 0;
        std::uint32_t sequence = 0;
        bool isAwaitingGrant = false;
        bool isRepeatedRequest = false; ///< The lease request before the last one was not answered.
        bool isInsufficient = false; ///< The last lease was smaller than the demand.
        bool isQueued = false; ///< Whether the workspace is in m_active.
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    void refill(TimePoint now, Row &row, const QuotaAmount &evenPart) const;
    void expireLease(TimePoint now, Row &row) const;
    void countArrival(TimePoint now, Row &row, double tokens) const;
    bool isLeaseRequestDue(TimePoint now, const Row &row) const;
    bool canWait(TimePoint now, const Row &row) const;
    std::chrono::milliseconds retryAfter(const Row &row) const;
    void sweep(TimePoint now);

    QuotaClientConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
    std::vector<WorkspaceKey> m_active; ///< Workspaces with recent requests or a debt, which may need a lease.
    TimePoint m_swept{};
};

/** Quotas of the workspaces that this entry owns in its failure domain: grants leases and shares with other domains. */
class QuotaOwner
{
public:
    explicit QuotaOwner(QuotaOwnerConfig config);

    /**
     * Answers an entry of the same failure domain. @p limit is the full limit of the workspace per second. Repeated
     * and outdated requests get no answer.
     */
    std::optional<LeaseGrant>
    onLeaseRequest(TimePoint now, EntryKey entry, const LeaseRequest &request, const QuotaAmount &limit);

    std::optional<ShareMessage> onShareRequest(TimePoint now, const ShareRequest &request);
    void onShareReply(TimePoint now, const ShareReply &reply);
    std::optional<ShareMessage> onShareProbe(TimePoint now, const ShareProbe &probe);
    /** Returns the messages to owners in other domains that are due. Call it every 100 ms to 1 s. */
    std::vector<ShareMessage> tick(TimePoint now);

    /** Returns the share of this domain in the limit of the workspace; 0 if no entry has requested a lease yet. */
    ShareUnits share(WorkspaceKey workspace) const;
    /** Drops a workspace that another entry owns now. The returned messages give back what is borrowed. */
    std::vector<ShareMessage> release(TimePoint now, WorkspaceKey workspace);
    /** Drops all workspaces, for an orderly shutdown. */
    std::vector<ShareMessage> releaseAll(TimePoint now);
    std::size_t size() const;
    static std::size_t rowBytes();
    static std::size_t clientBytes();

private:
    struct Client
    {
        EntryKey entry = 0;
        QuotaAmount demand;
        QuotaAmount need; ///< Demand plus debt, per second.
        QuotaAmount credit; ///< Fair part that has not been granted yet.
        QuotaAmount granted; ///< Last lease.
        TimePoint lastLeaseRequest{};
        std::uint32_t sequence = 0;
    };

    struct Row
    {
        QuotaAmount limit;
        QuotaAmount level; ///< Level of the token bucket: the amount that may be granted now.
        TimePoint refilled{};
        TimePoint lastLeaseRequest{};
        std::vector<Client> clients;
        DomainShares shares;
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    QuotaAmount rate(const Row &row) const;
    void refill(TimePoint now, Row &row) const;
    Client &clientOf(TimePoint now, Row &row, EntryKey entry) const;
    QuotaAmount outstanding(TimePoint now, const Row &row) const;
    void reclaimLease(TimePoint now, Row &row, Client &client, const QuotaAmount &balance) const;
    QuotaAmount grantFor(TimePoint now, Row &row, Client &client, const LeaseRequest &request) const;
    ShareUnits demandUnits(TimePoint now, const Row &row) const;
    void sweep(TimePoint now);

    QuotaOwnerConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
    EntryKey m_ownerships = 0; ///< Number of rows created; gives each a distinct identity for other domains.
    TimePoint m_swept{};
};

} // namespace turmericline
