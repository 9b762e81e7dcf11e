#pragma once

#include "agent_pool.h"
#include "config_sync.h"
#include "drain.h"
#include "entry_call.h"
#include "entry_settings.h"
#include "h2_server.h"
#include "http_client.h"
#include "metrics.h"
#include "ops_server.h"
#include "platform_client.h"
#include "quota_sync.h"
#include "ticket_issuer.h"

#include <asio/io_context.hpp>

#include <memory>
#include <unordered_map>

namespace turmericline {

/** The turmericline-entry daemon: accepts, validates and routes the requests of callers. */
class Entry
{
public:
    /** Throws std::exception if it cannot listen. */
    Entry(asio::io_context &io, EntrySettings settings);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    std::uint16_t port() const
    {
        return m_callerServer.port();
    }
    std::uint16_t opsPort() const
    {
        return m_ops.port();
    }
    std::uint16_t peerPort() const
    {
        return m_peerServer.port();
    }

private:
    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleModels(const HttpRequest &request, HttpResponder &responder) const;
    void handleTicket(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void startCall(CallerRequest request, std::uint64_t connection, const std::shared_ptr<HttpResponder> &responder);
    void onConnectionClosed(std::uint64_t connection);
    void tick();
    void handlePeer(H2ServerStream &stream);
    void applyDocument(const std::shared_ptr<const Document> &document);
    bool isReady() const;
    nlohmann::json serverStatus() const;
    nlohmann::json status() const;

    asio::io_context &m_io;
    EntrySettings m_settings;
    PeerTls m_tls;
    HttpClient m_http;
    Metrics m_metrics;
    std::shared_ptr<const Document> m_document;
    std::chrono::steady_clock::time_point m_documentAppliedAt;
    AgentPool m_agents;
    ConfigSync m_sync;
    QuotaSync m_quota;
    ServerSelector m_selector;
    RetryBudget m_retries;
    RetryBudget m_resumptions;
    TicketIssuer m_tickets;
    SuspectSync m_suspects;
    SuspectSubscriber m_suspectSubscriber;
    EntryContext m_context;
    std::unordered_map<const EntryCall *, std::shared_ptr<EntryCall>> m_calls;
    std::unordered_map<std::uint64_t, std::weak_ptr<EntryCall>> m_callByConnection;
    H2Server m_peerServer;
    OpsServer m_ops;
    HttpServer m_callerServer;
    DrainControl m_drain;
    PlatformClient m_platform;
    asio::steady_timer m_tickTimer;
    std::chrono::steady_clock::time_point m_lastTick;
    std::chrono::steady_clock::time_point m_previousTick;
    std::chrono::steady_clock::time_point m_lastHealthTick;
};

} // namespace turmericline
