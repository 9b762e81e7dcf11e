#pragma once

#include "agent_call.h"
#include "agent_settings.h"
#include "crash_probe.h"
#include "suspect_sync.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace turmericline {

/** What AgentIsolation asks of its agent. */
struct AgentIsolationHandlers
{
    using Call = std::shared_ptr<AgentCall>;

    std::function<void(const Call &call)> start; ///< Send it to the backend server.
    std::function<void(const Call &call, const std::string &reason)> refuse; ///< It is not run.
    std::function<void(const Call &call, const std::string &reason)> fail; ///< Its connection broke.
    std::function<void()> resume; ///< Calls may start again.
};

/**
 * The agent's defence against requests that crash its backend server: starts suspected calls alone, and finds out
 * which calls were in flight when the server died.
 */
class AgentIsolation
{
public:
    using Call = std::shared_ptr<AgentCall>;

    AgentIsolation(asio::io_context &io,
                   const AgentSettings &settings,
                   std::uint64_t incarnation,
                   SuspectSync &suspects,
                   AgentIsolationHandlers handlers);

    /** A call that has got a slot: starts it now, or once it may. */
    void admit(const Call &call);
    /** Starts calls that may start now, and gives up those whose deadline has passed. */
    void pump();
    /** The call has ended for whatever reason, started or not. */
    void end(const Call &call);
    /** The connection of a started call broke: the call fails once it is known whether the server has died. */
    void onBroken(const Call &call, const std::string &reason);
    std::size_t heldCount() const;

private:
    struct Broken
    {
        Call call;
        std::string reason;
    };

    bool tryStart(const Call &call);
    void onProbed(bool isListening);
    void recordCrash();
    std::vector<Fingerprint> suspectsNow() const;

    const AgentSettings &m_settings;
    std::uint64_t m_run; ///< Identifies the run of the backend server.
    SuspectSync &m_suspects;
    AgentIsolationHandlers m_handlers;
    IsolationGate m_gate;
    CrashProbe m_probe;
    std::vector<Call> m_held; ///< Have a slot and wait for the gate, in order.
    std::vector<Broken> m_broken;
    bool m_isPumping = false;
};

} // namespace turmericline
