#include "entry_call.h"

#include "key_binder.h"
#include "ticket.h"
#include "verdict.h"
#include "wire.h"

namespace turmericline {

namespace {

Binding parseBinding(int status, std::string_view reason)
{
    if (status == 200) {
        return Binding::Bound;
    }
    return valueOf(bindingNames, reason).value_or(Binding::NotOwner);
}

} // namespace

void EntryCall::perform(const KeyedStep &step)
{
    if (m_isDone) {
        return;
    }
    const bool wouldRun = step.action == KeyedAction::Bind || step.action == KeyedAction::Run;
    if (wouldRun && isRefusedSuspect()) {
        perform(refuseKeyedSuspect());
        return;
    }
    switch (step.action) {
    case KeyedAction::Bind:
    case KeyedAction::SealUnbound:
        sendBind(step.action == KeyedAction::SealUnbound);
        return;
    case KeyedAction::Run:
    case KeyedAction::Seal: {
        const auto peer = m_context.agents.find(step.ticket->server);
        if (!peer) {
            perform(m_keyed->giveUp("the backend server of the key is not in the configuration any more"));
        } else if (step.action == KeyedAction::Seal) {
            sendSeal(*step.ticket);
        } else {
            m_ticket = step.ticket;
            send(peer);
        }
        return;
    }
    case KeyedAction::Finish:
        if (isSuspectRefusal(step.verdict)) {
            refuseSuspect(step.verdict);
            return;
        }
        if (m_refusal) {
            m_refusal->verdict = step.verdict;
            giveUp(*m_refusal);
        } else {
            giveUp(unavailable(step.reason, step.verdict));
        }
        return;
    }
}

void EntryCall::onKeyedDone(const H2Result &result, Verdict verdict, const std::string &reason)
{
    if (!result.complete) {
        perform(m_keyed->onLost());
    } else if (verdict == Verdict::Run) {
        answer();
    } else {
        perform(m_keyed->onAnswer(verdict, reason));
    }
}

void EntryCall::sendBind(bool isSeal)
{
    const auto service = m_context.document->services.find(m_request.service);
    const auto *const owners = service.isValid() ? &m_context.document->services[service].keyOwners : nullptr;
    if (owners == nullptr || owners->empty()) {
        perform(m_keyed->giveUp("the service has no owners of plain keys"));
        return;
    }
    const auto slot = keySlot(m_request.workspace, m_request.service, m_request.key, owners->size());
    const auto owner = m_context.agents.find((*owners)[slot]);
    if (!owner) {
        perform(m_keyed->giveUp("the owner of the key is not in the configuration"));
        return;
    }
    AgentPool::refreshAge(owner, [self = shared_from_this(), owner, isSeal](bool isKnown) {
        if (self->m_isDone) {
            return;
        }
        if (!isKnown) {
            self->m_context.selector.onFailure(Clock::now(), owner->name);
            self->perform(self->m_keyed->onLost());
        } else if (isSeal) {
            self->postBind(owner, {});
        } else {
            self->proposeAndBind(owner);
        }
    });
}

void EntryCall::proposeAndBind(const std::shared_ptr<AgentPeer> &owner)
{
    const auto server = chooseServer();
    if (!server) {
        perform(m_keyed->refuse("no backend server of the service can take the request now"));
        return;
    }
    AgentPool::refreshAge(server, [self = shared_from_this(), owner, server](bool isKnown) {
        if (self->m_isDone) {
            return;
        }
        if (!isKnown) {
            self->m_context.selector.onFailure(Clock::now(), server->name);
            self->m_tried.push_back(server->name); // Nothing is bound yet, so another server can be proposed.
            self->proposeAndBind(owner);
            return;
        }
        const auto &age = *server->reportedAge;
        self->postBind(owner, formatTicket(makeTicket(server->name, age.incarnation, age.tick)));
    });
}

void EntryCall::postBind(const std::shared_ptr<AgentPeer> &owner, const std::string &proposed)
{
    const auto age = m_keyed->ownerAge(*owner->reportedAge, owner->ageReceivedAt);
    H2Request request{"POST",
                      "/bind",
                      {{std::string(wire::workspace), m_request.workspace},
                       {std::string(wire::service), m_request.service},
                       {std::string(wire::key), m_request.key},
                       {std::string(wire::ownerAge), formatAgentAge(age)}},
                      {}};
    if (!proposed.empty()) {
        request.headers.emplace_back(wire::ticket, proposed);
    }
    auto bind = std::make_shared<BindResult>();
    auto status = std::make_shared<int>(0);
    owner->client->start(std::move(request),
                         {[owner, bind, status](int code, const HttpHeaders &headers) {
                              owner->updateFromHeaders(headers, Clock::now());
                              *status = code;
                              bind->ticket = headerValue(headers, wire::ticket);
                          },
                          {},
                          [self = shared_from_this(), bind, status](const H2Result &result) {
                              if (self->m_isDone) {
                                  return;
                              }
                              if (!result.complete) {
                                  self->perform(self->m_keyed->onLost());
                                  return;
                              }
                              bind->binding = parseBinding(*status, headerValue(result.trailers, wire::reason));
                              bind->verdict = parseVerdict(headerValue(result.trailers, wire::verdict));
                              self->perform(self->m_keyed->onBind(*bind));
                          }});
}

void EntryCall::sendSeal(const Ticket &ticket)
{
    const auto peer = m_context.agents.find(ticket.server);
    H2Request request{
        "POST",
        "/seal",
        {{std::string(wire::workspace), m_request.workspace}, {std::string(wire::key), formatTicket(ticket)}},
        {}};
    peer->client->start(std::move(request),
                        {[peer](int, const HttpHeaders &headers) {
                             peer->updateFromHeaders(headers, Clock::now());
                         },
                         {},
                         [self = shared_from_this()](const H2Result &result) {
                             if (self->m_isDone) {
                                 return;
                             }
                             const auto verdict = parseVerdict(headerValue(result.trailers, wire::verdict));
                             const std::string reason(headerValue(result.trailers, wire::reason));
                             self->perform(result.complete ? self->m_keyed->onAnswer(verdict, reason)
                                                           : self->m_keyed->onLost());
                         }});
}

} // namespace turmericline
