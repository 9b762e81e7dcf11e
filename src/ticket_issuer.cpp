#include "ticket_issuer.h"

#include "caller_request.h"
#include "ticket.h"

#include <nlohmann/json.hpp>

namespace turmericline {

TicketIssuer::TicketIssuer(AgentPool &agents, ServerSelector &selector)
    : m_agents(agents)
    , m_selector(selector)
{
}

void TicketIssuer::issue(std::string service,
                         std::chrono::seconds lifetime,
                         const std::shared_ptr<HttpResponder> &responder)
{
    queryNextAgent(std::make_shared<Request>(Request{std::move(service), lifetime, responder, {}}));
}

void TicketIssuer::queryNextAgent(const std::shared_ptr<Request> &request)
{
    const auto name = m_selector.choose(AgentPeer::Clock::now(), request->service, {}, request->tried);
    const auto peer = name ? m_agents.find(*name) : nullptr;
    if (!peer) {
        sendRefusal(*request->responder,
                    {503,
                     "unavailable",
                     "no backend server of the service can be reached now",
                     Verdict::NotRun,
                     std::chrono::seconds(1)});
        return;
    }
    request->tried.push_back(*name);
    AgentPool::refreshAge(peer, [this, peer, request](bool isKnown) {
        if (!isKnown) {
            m_selector.onFailure(AgentPeer::Clock::now(), peer->name);
            queryNextAgent(request);
            return;
        }
        const auto ticket = makeTicket(peer->name, peer->reportedAge->incarnation, peer->reportedAge->tick);
        const nlohmann::json body{{"ticket", formatTicket(ticket)}, {"expires_in_s", request->lifetime.count()}};
        request->responder->reply(200, {{"Content-Type", "application/json"}, {"X-Verdict", "run"}}, body.dump());
    });
}

} // namespace turmericline
