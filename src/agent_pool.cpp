#include "agent_pool.h"

#include "wire.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace turmericline {

namespace {

/** Number of connections above which none is opened just to announce a document; bounds the work per change. */
constexpr std::size_t maxAnnouncementConnections = 64;
constexpr std::chrono::milliseconds ageRefreshInterval{1'000};

bool parseLoad(std::string_view text, std::uint32_t &first, std::uint32_t &second)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return false;
    }
    const auto *const middle = text.data() + dot;
    const auto *const end = text.data() + text.size();
    return std::from_chars(text.data(), middle, first).ptr == middle
           && std::from_chars(middle + 1, end, second).ptr == end;
}

} // namespace

std::optional<AgentAge> parseAgentAge(std::string_view text)
{
    AgentAge age;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto *const middle = text.data() + dot;
    const auto *const end = text.data() + text.size();
    const bool ok = std::from_chars(text.data(), middle, age.incarnation, 16).ptr == middle
                    && std::from_chars(middle + 1, end, age.tick).ptr == end;
    return ok ? std::optional(age) : std::nullopt;
}

std::string formatAgentAge(const AgentAge &age)
{
    std::array<char, 16> hex{};
    auto *const end = std::to_chars(hex.data(), hex.data() + hex.size(), age.incarnation, 16).ptr;
    return std::string(hex.data(), end) + "." + std::to_string(age.tick);
}

void AgentPeer::updateFromHeaders(const HttpHeaders &headers, Clock::time_point now)
{
    if (const auto age = parseAgentAge(headerValue(headers, wire::incarnation))) {
        reportedAge = age;
        ageReceivedAt = now;
    }
    parseLoad(headerValue(headers, wire::load), reportedRunning, reportedQueued);
}

AgentPool::AgentPool(asio::io_context &io, PeerTls &tls, std::string domain)
    : m_io(io)
    , m_tls(tls)
    , m_domain(std::move(domain))
    , m_random(std::random_device{}())
{
}

void AgentPool::setDocument(const Document &document)
{
    std::erase_if(m_peers, [&document](const auto &row) {
        const auto id = document.servers.find(row.first);
        return !id.isValid() || document.servers[id].agent != row.second->address;
    });
    for (const auto &it : document.servers) {
        if (m_peers.contains(it.name)) {
            continue;
        }
        auto peer = std::make_shared<AgentPeer>();
        peer->name = it.name;
        peer->address = it.agent;
        peer->domain = it.domain;
        peer->client = std::make_shared<H2Client>(m_io, m_tls, it.agent);
        m_peers.emplace(it.name, std::move(peer));
    }
}

std::shared_ptr<AgentPeer> AgentPool::find(std::string_view server) const
{
    const auto it = m_peers.find(server);
    return it == m_peers.end() ? nullptr : it->second;
}

void AgentPool::refreshAge(const std::shared_ptr<AgentPeer> &peer, std::function<void(bool isKnown)> done)
{
    const auto now = AgentPeer::Clock::now();
    // After a lost connection the agent may have restarted, and a ticket must name its present incarnation.
    if (peer->reportedAge && peer->client->isConnected() && now - peer->ageReceivedAt < ageRefreshInterval) {
        done(true);
        return;
    }
    auto isAccepted = std::make_shared<bool>(false);
    peer->client->start({"GET", "/hello", {}, {}},
                        {[peer, isAccepted](int status, const HttpHeaders &headers) {
                             *isAccepted = status == 200;
                             peer->updateFromHeaders(headers, AgentPeer::Clock::now());
                         },
                         {},
                         [peer, isAccepted, done = std::move(done)](const H2Result &result) {
                             done(result.complete && *isAccepted && peer->reportedAge.has_value());
                         }});
}

std::vector<std::shared_ptr<H2Client>> AgentPool::clients(bool isGossipRound)
{
    std::vector<std::shared_ptr<H2Client>> found;
    if (isGossipRound) {
        if (!m_peers.empty()) {
            std::uniform_int_distribution<std::size_t> pick(0, m_peers.size() - 1);
            found.push_back(std::next(m_peers.begin(), static_cast<std::ptrdiff_t>(pick(m_random)))->second->client);
        }
        return found;
    }
    for (const auto &[name, it] : m_peers) {
        if (it->client->isConnected() || (it->domain == m_domain && found.size() < maxAnnouncementConnections)) {
            found.push_back(it->client);
        }
    }
    return found;
}

} // namespace turmericline
