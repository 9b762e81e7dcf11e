#include "quota_sync.h"

#include "log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};

EntryKey randomKey()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

bool isEmpty(const QuotaMessage &message)
{
    return message.leaseRequests.empty() && message.leaseGrants.empty() && message.shareRequests.empty()
           && message.shareReplies.empty() && message.shareProbes.empty();
}

} // namespace

QuotaSync::QuotaSync(asio::io_context &io, PeerTls &tls, const std::string &name, std::string domain)
    : m_io(io)
    , m_tls(tls)
    , m_domain(std::move(domain))
    , m_self(workspaceKey(name)) // Names of entries are hashed in the same way.
    , m_incarnation(randomKey())
    , m_document(std::make_shared<const Document>())
    , m_domains{m_domain}
    , m_timer(io)
{
    m_peers[m_self] = {m_domain, nullptr};
    resetOwner();
}

void QuotaSync::start()
{
    tick();
}

void QuotaSync::resetOwner()
{
    QuotaOwnerConfig config;
    config.incarnation = m_incarnation;
    config.self = static_cast<DomainIndex>(std::ranges::find(m_domains, m_domain) - m_domains.begin());
    config.domains = static_cast<std::uint8_t>(std::min<std::size_t>(m_domains.size(), UINT8_MAX));
    m_owner = std::make_unique<QuotaOwner>(config);
}

void QuotaSync::setDocument(const std::shared_ptr<const Document> &document)
{
    m_document = document;
    m_workspaces.clear();
    std::uint32_t i = 0;
    for (const auto &it : document->workspaces) {
        m_workspaces.emplace(workspaceKey(it.name), Id<Workspace>{i++});
    }
    std::set<std::string_view> domains;
    for (const auto &it : document->servers) {
        domains.insert(it.domain);
    }
    m_domainsInDocument = std::max<std::size_t>(1, domains.size());
}

void QuotaSync::setInstances(const std::vector<InstanceInfo> &instances)
{
    std::set<std::string> domains{m_domain};
    std::map<EntryKey, Peer> peers{{m_self, {m_domain, nullptr}}};
    std::size_t entries = 0;
    for (const auto &it : instances) {
        if (it.role != "entry") {
            continue;
        }
        domains.insert(it.domain);
        entries += it.domain == m_domain ? 1 : 0;
        const auto key = workspaceKey(it.name);
        if (it.isLeaving || key == m_self) {
            continue;
        }
        const auto known = m_peers.find(key);
        peers[key] = known != m_peers.end() ? known->second
                                            : Peer{it.domain, std::make_shared<H2Client>(m_io, m_tls, it.address)};
    }
    m_entriesInDomain = std::max<std::size_t>(1, entries);
    m_peers = std::move(peers);
    std::vector<std::string> sorted(domains.begin(), domains.end());
    if (sorted != m_domains) {
        // Share messages refer to domains by index, so the owner state is reset when the list of domains changes.
        m_domains = std::move(sorted);
        resetOwner();
    }
}

QuotaAmount QuotaSync::evenPart(const Plan &plan) const
{
    const auto parts = static_cast<double>(m_entriesInDomain * std::max(m_domains.size(), m_domainsInDocument));
    return {plan.requestsPerSecond / parts, plan.tokensPerSecond / parts};
}

QuotaAmount QuotaSync::limitOf(WorkspaceKey workspace) const
{
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        return {};
    }
    const auto &plan = m_document->plans[m_document->workspaces[it->second].plan];
    return {plan.requestsPerSecond, plan.tokensPerSecond};
}

void QuotaSync::admit(std::string_view workspace, double tokens, Decision decision)
{
    const auto id = m_document->workspaces.find(workspace);
    if (!id.isValid()) {
        decision(std::nullopt); // The workspace was removed after the request was authorised by the older document.
        return;
    }
    const auto &plan = m_document->plans[m_document->workspaces[id].plan];
    decide({workspaceKey(workspace), evenPart(plan), tokens, {}, std::move(decision)}, SpendAttempt::First);
    collectRequests();
    send();
}

void QuotaSync::decide(Waiter waiter, SpendAttempt attempt)
{
    const auto now = Clock::now();
    const auto result = m_client.spend(now, waiter.workspace, waiter.evenPart, waiter.tokens, attempt);
    if (result.verdict == QuotaVerdict::Wait) {
        waiter.until = now + result.wait;
        m_waiters.push_back(std::move(waiter));
        return;
    }
    m_withoutLease += result.isFallback ? 1 : 0;
    if (result.verdict == QuotaVerdict::Refuse) {
        ++m_refused;
        waiter.decision(result.wait);
    } else {
        waiter.decision(std::nullopt);
    }
}

void QuotaSync::retryWaiters(std::optional<WorkspaceKey> workspace)
{
    const auto now = Clock::now();
    std::list<Waiter> ready;
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        const auto next = std::next(it);
        if (now >= it->until || (workspace && it->workspace == *workspace)) {
            ready.splice(ready.end(), m_waiters, it);
        }
        it = next;
    }
    for (auto &it : ready) {
        decide(std::move(it), SpendAttempt::Retry);
    }
}

void QuotaSync::correct(std::string_view workspace, double estimated, double used)
{
    m_client.correct(Clock::now(), workspaceKey(workspace), estimated, used);
}

void QuotaSync::refund(std::string_view workspace, double tokens)
{
    m_client.refund(Clock::now(), workspaceKey(workspace), tokens);
}

std::optional<EntryKey> QuotaSync::ownerIn(const std::string &domain, WorkspaceKey workspace) const
{
    std::vector<EntryKey> entries;
    for (const auto &[key, peer] : m_peers) {
        if (peer.domain == domain) {
            entries.push_back(key);
        }
    }
    return quotaOwner(workspace, entries);
}

void QuotaSync::collectRequests()
{
    const auto now = Clock::now();
    for (const auto &it : m_client.takeDueRequests(now)) {
        const auto owner = ownerIn(m_domain, it.workspace);
        if (owner == m_self) {
            if (const auto grant = m_owner->onLeaseRequest(now, m_self, it, limitOf(it.workspace))) {
                m_client.onGrant(now, *grant);
                retryWaiters(it.workspace);
            }
        } else if (owner) {
            m_outbox[*owner].leaseRequests.push_back(it);
        }
    }
}

void QuotaSync::addShareMessage(const ShareMessage &message)
{
    if (message.to >= m_domains.size()) {
        return;
    }
    std::visit(
        [this, &message](const auto &body) {
            using Body = std::decay_t<decltype(body)>;
            const auto owner = ownerIn(m_domains[message.to], body.workspace);
            if (!owner || owner == m_self) {
                return;
            }
            auto &out = m_outbox[*owner];
            if constexpr (std::is_same_v<Body, ShareRequest>) {
                out.shareRequests.push_back(body);
            } else if constexpr (std::is_same_v<Body, ShareReply>) {
                out.shareReplies.push_back(body);
            } else {
                out.shareProbes.push_back(body);
            }
        },
        message.body);
}

void QuotaSync::take(const QuotaMessage &message)
{
    const auto now = Clock::now();
    for (const auto &it : message.leaseRequests) {
        if (const auto grant = m_owner->onLeaseRequest(now, message.sender, it, limitOf(it.workspace))) {
            m_outbox[message.sender].leaseGrants.push_back(*grant);
        }
    }
    for (const auto &it : message.leaseGrants) {
        m_client.onGrant(now, it);
        retryWaiters(it.workspace);
    }
    for (const auto &it : message.shareRequests) {
        if (const auto reply = m_owner->onShareRequest(now, it)) {
            addShareMessage(*reply);
        }
    }
    for (const auto &it : message.shareReplies) {
        m_owner->onShareReply(now, it);
    }
    for (const auto &it : message.shareProbes) {
        if (const auto answer = m_owner->onShareProbe(now, it)) {
            addShareMessage(*answer);
        }
    }
}

void QuotaSync::send()
{
    for (auto &[key, message] : m_outbox) {
        const auto peer = m_peers.find(key);
        if (isEmpty(message) || peer == m_peers.end() || !peer->second.client) {
            continue;
        }
        message.sender = m_self;
        // QuotaClient and QuotaOwner repeat lost messages, so the result is ignored.
        peer->second.client->start({"POST", "/quota", {}, encodeQuotaMessage(message)}, {});
    }
    m_outbox.clear();
}

bool QuotaSync::handle(H2ServerStream &stream)
{
    if (stream.request().path != "/quota") {
        return false;
    }
    const auto message = decodeQuotaMessage(stream.request().body);
    stream.reply(message ? 200 : 400, {}, {});
    if (message) {
        take(*message);
        send();
    }
    return true;
}

void QuotaSync::tick()
{
    for (const auto &it : m_owner->tick(Clock::now())) {
        addShareMessage(it);
    }
    collectRequests();
    retryWaiters(std::nullopt);
    send();
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](asio::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

nlohmann::json QuotaSync::status() const
{
    return {{"workspaces", m_client.size()},
            {"owned", m_owner->size()},
            {"refused", m_refused},
            {"without_lease", m_withoutLease},
            {"waiting", m_waiters.size()}};
}

} // namespace turmericline
