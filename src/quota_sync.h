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
 * Limits of an entry over the network: asks the quota owner of each workspace in the failure domain for leases, is the
 * owner of some workspaces itself, and exchanges shares with the owners in other domains. Messages to one entry are
 * collected and sent together.
 */
class QuotaSync
{
public:
    using Clock = std::chrono::steady_clock;
    /** Gets nothing if the request is admitted, or when the caller may come back. */
    using Decision = std::function<void(std::optional<std::chrono::milliseconds> retryAfter)>;

    QuotaSync(asio::io_context &io, PeerTls &tls, const std::string &name, std::string domain);

    void start();
    void setDocument(const std::shared_ptr<const Document> &document);
    void setInstances(const std::vector<InstanceInfo> &instances);

    /** Decides on a request, at once or after a lease arrived (100 ms at most). */
    void admit(std::string_view workspace, double tokens, Decision decision);
    /** Corrects the charge once the tokens that were used are known. */
    void correct(std::string_view workspace, double estimated, double used);
    /** Gives the charge of a request back that was not run. */
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
        std::shared_ptr<H2Client> client; ///< Empty for this entry itself.
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
    std::vector<std::string> m_domains; ///< Sorted; the index is the one in share messages.
    std::size_t m_domainsInDocument = 1;
    std::size_t m_entriesInDomain = 1; ///< Of the instance list, whether live or leaving.
    std::map<EntryKey, Peer> m_peers; ///< Live entries, this one included.
    QuotaClient m_client;
    std::unique_ptr<QuotaOwner> m_owner;
    std::map<EntryKey, QuotaMessage> m_outbox;
    std::list<Waiter> m_waiters;
    asio::steady_timer m_timer;
    std::uint64_t m_refused = 0;
    std::uint64_t m_withoutLease = 0;
};

} // namespace turmericline
