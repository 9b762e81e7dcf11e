#pragma once

#include "agent_pool.h"
#include "http_server.h"
#include "server_selector.h"

#include <memory>
#include <string>

namespace turmericline {

/** Answers POST /v1/tickets: chooses an agent of the service and issues a ticket for its current incarnation. */
class TicketIssuer
{
public:
    TicketIssuer(AgentPool &agents, ServerSelector &selector);

    void issue(std::string service, std::chrono::seconds lifetime, const std::shared_ptr<HttpResponder> &responder);

private:
    struct Request
    {
        std::string service;
        std::chrono::seconds lifetime;
        std::shared_ptr<HttpResponder> responder;
        std::vector<std::string> tried;
    };

    /** Queries one agent after another until one answers. */
    void queryNextAgent(const std::shared_ptr<Request> &request);

    AgentPool &m_agents;
    ServerSelector &m_selector;
};

} // namespace turmericline
