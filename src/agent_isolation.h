#pragma once

#include "abandoned_attempts.h"
#include "agent_call.h"
#include "agent_settings.h"
#include "crash_probe.h"
#include "suspect_sync.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace turmericline {

/** Callbacks of AgentIsolation into its agent. */
struct AgentIsolationHandlers
{
    using Call = std::shared_ptr<AgentCall>;

    std::function<void(const Call &call)> start; ///< Sends the call to the backend server.
    std::function<void(const Call &call, const std::string &reason)> refuse; ///< Ends the call as not run.
    std::function<void(const Call &call, const std::string &reason)> fail; ///< Ends a call whose connection broke.
    std::function<void()> resume; ///< A probe has ended, so calls may start again.
};

/**
 * Protects the backend server against requests that crash it: runs suspected calls alone, and records which calls were
 * in flight when the server crashed. Cancelled calls count as in flight until their deadlines.
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

    /** Starts a call that has got a slot, or holds it until it may start. */
    void admit(const Call &call);
    /** Starts the held calls that may start now; refuses those that are past their deadline or suspected too often. */
    void startHeldCalls();
    /** To be called when a call has ended for any reason, started or not. */
    void end(const Call &call);
    /**
     * A started call is about to be cancelled, for example because its caller left. The server may go on with it, and end
     * under it later.
     */
    void abandon(const Call &call);
    /** The server has sent a part of the answer to a call. */
    void onAlive(const Call &call);
    /** No connection could be made to the server. */
    void onUnreachable();
    /** Probes the server from time to time as long as it may end under a cancelled call. */
    void tick();
    /** The connection of a started call broke: fails the call after a probe has shown whether the server crashed. */
    void onConnectionBroken(const Call &call, const std::string &reason);
    std::size_t heldCount() const;

private:
    struct BrokenCall
    {
        Call call;
        std::string reason;
    };

    bool tryStart(const Call &call);
    void onProbeDone(bool isListening);
    void onAbandonedProbeDone(std::uint64_t run, ProbeResult result);
    void recordCrash();
    ServerIncarnation currentRun() const;
    std::vector<Fingerprint> currentSuspects(std::span<const AbandonedAttempt> abandoned) const;
    std::vector<PartInFlight> partsInFlight(std::span<const AbandonedAttempt> abandoned) const;

    const AgentSettings &m_settings;
    std::uint64_t m_run; ///< Identifies the present run of the backend server.
    SuspectSync &m_suspects;
    AgentIsolationHandlers m_handlers;
    IsolationGate m_gate;
    CrashProbe m_probe;
    CrashProbe m_abandonedProbe; ///< Unlike m_probe, it holds up no calls.
    AbandonedAttempts m_abandoned; ///< Cancelled calls of this run of the server.
    AgentCall::Clock::time_point m_nextAbandonedProbeAt{};
    std::vector<Call> m_held; ///< Calls that have a slot and wait for the gate, in order of arrival.
    std::vector<BrokenCall> m_brokenCalls;
    bool m_isStartingHeldCalls = false;
};

} // namespace turmericline
