#include "ticket_issuer.h"

#include "caller_request.h"
#include "ticket.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmericline {

TicketIssuer::TicketIssuer(AgentPool &agents, std::string domain)
    : m_agents(agents)
    , m_domain(std::move(domain))
{
}

void TicketIssuer::issue(const Document &document, Id<Service> service, const std::shared_ptr<HttpResponder> &responder)
{
    auto peers = m_agents.candidates(document, service, {});
    const auto now = AgentPeer::Clock::now();
    const auto cost = [&](const std::shared_ptr<AgentPeer> &peer) {
        const auto avoided = now < peer->avoidUntil ? 1'000'000U : 0U;
        return avoided + 2 * peer->inFlight + peer->reportedQueued + (peer->domain != m_domain ? 1U : 0U);
    };
    // The last one is asked first.
    std::stable_sort(peers.begin(), peers.end(), [&cost](const auto &a, const auto &b) {
        return cost(a) > cost(b);
    });
    ask(std::move(peers), document.keyLifetime, responder);
}

void TicketIssuer::ask(Peers peers, std::chrono::seconds lifetime, const std::shared_ptr<HttpResponder> &responder)
{
    if (peers.empty()) {
        sendRefusal(*responder,
                    {503,
                     "unavailable",
                     "no backend server of the service can be reached now",
                     Verdict::NotRun,
                     std::chrono::seconds(1)});
        return;
    }
    const auto peer = peers.back();
    peers.pop_back();
    AgentPool::refreshAge(peer, [this, peer, peers = std::move(peers), lifetime, responder](bool isKnown) {
        if (!isKnown) {
            ask(peers, lifetime, responder);
            return;
        }
        const auto ticket = makeTicket(peer->name, peer->heardAge->incarnation, peer->heardAge->tick);
        const nlohmann::json body{{"ticket", formatTicket(ticket)}, {"expires_in_s", lifetime.count()}};
        responder->reply(200, {{"Content-Type", "application/json"}, {"X-Verdict", "run"}}, body.dump());
    });
}

} // namespace turmericline
