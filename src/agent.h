#pragma once

#include "agent_call.h"
#include "agent_isolation.h"
#include "agent_settings.h"
#include "config_sync.h"
#include "document.h"
#include "drain.h"
#include "exclusive_socket.h"
#include "fair_queue.h"
#include "h2_server.h"
#include "http_client.h"
#include "key_binder.h"
#include "ledger.h"
#include "metrics.h"
#include "ops_server.h"
#include "platform_client.h"
#include "suspect_reports.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace turmericline {

/** The turmericline-agent daemon: runs beside one backend server and is the only process that sends it requests. */
class Agent
{
public:
    /** Throws std::exception if it cannot listen, or if another agent of the same server runs on this host. */
    Agent(asio::io_context &io, AgentSettings settings);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    std::uint16_t port() const
    {
        return m_peerServer.port();
    }
    std::uint16_t opsPort() const
    {
        return m_ops.port();
    }

private:
    using Call = std::shared_ptr<AgentCall>;

    void handle(const std::shared_ptr<H2ServerStream> &stream);
    void handleRun(const std::shared_ptr<H2ServerStream> &stream);
    void handleBind(H2ServerStream &stream);
    void handleSeal(H2ServerStream &stream);
    void handleHello(H2ServerStream &stream);

    bool admitKeyed(const Call &call);
    void enqueue(const Call &call);
    void dispatch();
    void finishNotRun(const std::vector<QueuedCall> &calls, const std::string &reason);
    void startBackend(const Call &call);
    void onBackendHead(const Call &call, int status, const HttpHeaders &headers);
    void onBackendBody(const Call &call, std::string_view chunk);
    void onBackendDone(const Call &call, const HttpClientResult &result);
    void onEntryDisconnected(const Call &call);
    void finish(const Call &call, Verdict verdict, const std::string &reason);
    void answerWaiters(const Call &call, Verdict verdict, const std::string &reason);
    void refuse(H2ServerStream &stream,
                int status,
                Verdict verdict,
                const std::string &reason,
                std::chrono::milliseconds retryAfter = {},
                std::string suspects = {});
    void replay(H2ServerStream &stream, const Answer &answer);

    void tick();
    void applyDocument(const std::shared_ptr<const Document> &document);
    std::string refusalReason() const; ///< Why new work is refused; empty if it is accepted.
    std::uint32_t slots() const;
    void createLedger();
    Age age() const;
    HttpHeaders standardHeaders() const;
    nlohmann::json status() const;

    asio::io_context &m_io;
    AgentSettings m_settings;
    ExclusiveSocket m_exclusive; ///< Held until exit, so that a server never has two agents.
    std::chrono::steady_clock::time_point m_started;
    std::uint64_t m_incarnation;
    std::optional<Ledger> m_ledger; ///< Created with the first document, which sets the key lifetime.
    std::optional<KeyBinder> m_binder;
    KeyOwnership m_ownership;
    PeerTls m_tls;
    HttpClient m_http;
    Metrics m_metrics;
    std::shared_ptr<const Document> m_document;
    ConfigSync m_sync;
    bool m_listedAsLeaving = false;
    FairQueue m_queue;
    SuspectSync m_suspects;
    SuspectReportServer m_suspectReportServer;
    AgentIsolation m_isolation;
    std::unordered_map<std::uint64_t, Call> m_calls; ///< Queued and running calls by id.
    std::uint64_t m_lastId = 0;
    std::map<Ticket, Call> m_keyedCalls; ///< Queued or running keyed calls.
    H2Server m_peerServer;
    OpsServer m_ops;
    DrainControl m_drain;
    PlatformClient m_platform;
    asio::steady_timer m_tickTimer;
};

} // namespace turmericline
