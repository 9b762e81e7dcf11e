#pragma once

#include "domain_shares.h"
#include "quota_type.h"

#include <memory>
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
     * Decides on one request that is expected to use @p tokens. @p evenPart is limit / entries in the domain / domains;
     * count the entries of the instance list, not only the live ones, or a partition inflates it.
     */
    QuotaDecision spend(TimePoint now, WorkspaceKey workspace, const QuotaAmount &evenPart, double tokens);
    /** Corrects the charge of an admitted request once the tokens that it used are known. */
    void correct(TimePoint now, WorkspaceKey workspace, double estimated, double used);
    /** Gives back the charge of an admitted request that was not run. */
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
        QuotaAmount granted; ///< Amount of the last lease.
        TimePoint demandSince{};
        TimePoint lastRequest{};
        TimePoint leaseEnd{};
        TimePoint lastAsk{};
        TimePoint refilled{};
        std::uint32_t sequence = 0;
        bool isAwaitingGrant = false;
        bool isQueued = false;
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    void settle(TimePoint now, Row &row, const QuotaAmount &evenPart) const;
    void updateDemand(TimePoint now, Row &row) const;
    bool isAskDue(TimePoint now, const Row &row) const;
    LeaseRequest makeRequest(TimePoint now, WorkspaceKey workspace, Row &row) const;
    void queue(WorkspaceKey workspace, Row &row);

    QuotaClientConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
    std::vector<WorkspaceKey> m_active; ///< Workspaces that may need a lease request.
    TimePoint m_swept{};
};

/** Quota of the workspaces that this entry owns in its failure domain. */
class QuotaOwner
{
public:
    explicit QuotaOwner(QuotaOwnerConfig config);

    /** Answers an entry of the same failure domain; @p limit is the workspace's whole limit per second. */
    LeaseGrant onLeaseRequest(TimePoint now, EntryKey entry, const LeaseRequest &request, const QuotaAmount &limit);

    std::optional<ShareMessage> onShareRequest(TimePoint now, const ShareRequest &request);
    void onShareReply(TimePoint now, const ShareReply &reply);
    ShareMessage onShareProbe(TimePoint now, const ShareProbe &probe);
    /** Messages to the owners in other domains that are due; call every 100 ms to 1 s. */
    std::vector<ShareMessage> tick(TimePoint now);

    /** Share of this domain in the workspace's limit. */
    ShareUnits share(WorkspaceKey workspace) const;
    /** Forgets a workspace that another entry owns now. */
    void release(WorkspaceKey workspace);
    std::size_t size() const;
    static std::size_t rowBytes();
    static std::size_t clientBytes();

private:
    struct Client
    {
        EntryKey entry = 0;
        QuotaAmount demand;
        QuotaAmount credit; ///< Its fair part since its last grant.
        TimePoint lastAsk{};
    };

    struct Row
    {
        QuotaAmount limit;
        QuotaAmount level; ///< What may be granted at once.
        TimePoint refilled{};
        TimePoint lastAsk{};
        std::vector<Client> clients;
        std::unique_ptr<DomainShares> shares; ///< Only while the home share is not enough or is lent.
    };

    Row &rowOf(TimePoint now, WorkspaceKey workspace);
    DomainShares &sharesOf(TimePoint now, WorkspaceKey workspace, Row &row);
    QuotaAmount rate(const Row &row) const;
    void refill(TimePoint now, Row &row) const;
    Client &clientOf(TimePoint now, Row &row, EntryKey entry) const;
    ShareUnits demandUnits(TimePoint now, const Row &row) const;

    QuotaOwnerConfig m_config;
    std::unordered_map<WorkspaceKey, Row> m_rows;
};

} // namespace turmericline
