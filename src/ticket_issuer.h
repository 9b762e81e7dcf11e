#pragma once

#include "agent_pool.h"
#include "http_server.h"

#include <memory>
#include <string>

namespace turmericline {

/**
 * Answers POST /v1/tickets: chooses an agent of the service, the nearest and least loaded first, and makes a ticket
 * for its present incarnation.
 */
class TicketIssuer
{
public:
    TicketIssuer(AgentPool &agents, std::string domain);

    void issue(const Document &document, Id<Service> service, const std::shared_ptr<HttpResponder> &responder);

private:
    using Peers = std::vector<std::shared_ptr<AgentPeer>>;

    /** Asks the agents in turn until one answers. */
    void ask(Peers peers, std::chrono::seconds lifetime, const std::shared_ptr<HttpResponder> &responder);

    AgentPool &m_agents;
    std::string m_domain;
};

} // namespace turmericline
