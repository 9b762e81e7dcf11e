#pragma once

#include "document_type.h"
#include "h2_client.h"
#include "h2_server.h"
#include "platform_client.h"
#include "quota.h"
#include "quota_wire.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericline {

/**
 * Network side of an entry's quotas: requests leases from the quota owner of each workspace in the failure domain, owns
 * some workspaces itself, and exchanges shares with the owners in other domains. Messages to one entry are batched.
 */
class QuotaSync
{
public:
    using Clock = std::chrono::steady_clock;
    /** Called without a value if the request is admitted, otherwise with the delay after which the caller may retry. */
    using Decision = std::function<void(std::optional<std::chrono::milliseconds> retryAfter)>;

    QuotaSync(asio::io_context &io, PeerTls &tls, const std::string &name, std::string domain);

    void start();
    void setDocument(const std::shared_ptr<const Document> &document);
    void setInstances(const std::vector<InstanceInfo> &instances);

    /** Decides on a request, at once or after waiting for a lease for at most 100 ms. */
    void admit(std::string_view workspace, double tokens, Decision decision);
    /** Corrects the charge when the number of used tokens is known. */
    void correct(std::string_view workspace, double estimated, double used);
    /** Refunds the charge of a request that was not run. */
    void refund(std::string_view workspace, double tokens);

    /** Answers /quota; returns false for other paths. */
    bool handle(H2ServerStream &stream);

    nlohmann::json status() const;

private:
    struct Waiter
    {
        WorkspaceKey workspace = 0;
        QuotaAmount evenPart;
        double tokens = 0;
        Clock::time_point until;
        Decision decision;
    };

    struct Peer
    {
        std::string domain;
        std::shared_ptr<H2Client> client; ///< Null for this entry itself.
    };

    void tick();
    void resetOwner();
    QuotaAmount evenPart(const Plan &plan) const;
    void decide(Waiter waiter, SpendAttempt attempt);
    void retryWaiters(std::optional<WorkspaceKey> workspace);
    QuotaAmount limitOf(WorkspaceKey workspace) const;
    std::optional<EntryKey> ownerIn(const std::string &domain, WorkspaceKey workspace) const;
    void collectRequests();
    void addShareMessage(const ShareMessage &message);
    void take(const QuotaMessage &message);
    void send();

    asio::io_context &m_io;
    PeerTls &m_tls;
    std::string m_domain;
    EntryKey m_self;
    EntryKey m_incarnation;
    std::shared_ptr<const Document> m_document;
    std::unordered_map<WorkspaceKey, Id<Workspace>> m_workspaces;
    std::vector<std::string> m_domains; ///< Sorted; share messages refer to a domain by its index.
    std::size_t m_domainsInDocument = 1;
    std::size_t m_entriesInDomain = 1; ///< Entries of this domain in the instance list, live or leaving.
    std::map<EntryKey, Peer> m_peers; ///< Live entries, including this one.
    QuotaClient m_client;
    std::unique_ptr<QuotaOwner> m_owner;
    std::map<EntryKey, QuotaMessage> m_outbox;
    std::list<Waiter> m_waiters;
    asio::steady_timer m_timer;
    std::uint64_t m_refused = 0;
    std::uint64_t m_withoutLease = 0;
};

} // namespace turmericline
