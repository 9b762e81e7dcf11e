#pragma once

#include "backend_registry.h"
#include "expert_agent_settings.h"
#include "group_coordinator.h"
#include "http_server.h"
#include "rank_client.h"
#include "routing_table.h"
#include "store_reader.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace turmericline {

/**
 * Agent of one backend server that is a rank of a group; runs on the same machine. Reports the state and counts of the
 * rank to the coordinator of the group and forwards orders to the rank. The agent of rank coordinatorRank is also the
 * coordinator.
 */
class ExpertAgent
{
public:
    ExpertAgent(asio::io_context &io, const ExpertAgentSettings &settings, GatewayDialect dialect, RankDialect ranks);

    std::uint16_t port() const;
    /** Sets the function that rereads the settings on SIGHUP. Invalid settings are not applied. */
    void setReload(std::function<SettingsParseResult<ExpertAgentSettings>()> read);

private:
    using ReportHandler = RankClient::ReportHandler;

    void waitForSignal();
    void reload();
    void tick();
    void scheduleTick();
    void onConfig(const StoreChange &change);
    void onPeerRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void onQuery(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void replyReport(const RankQuery &query, const std::shared_ptr<HttpResponder> &responder);
    void collectReport(const RankQuery &query, ReportHandler handler);
    void queryAgent(const RankQuery &query, std::chrono::milliseconds timeout, ReportHandler handler);
    void onOrder(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void replyLoads(const std::shared_ptr<HttpResponder> &responder);
    void collectAnswers(const GroupOrder &order, GroupLink::OrderHandler handler);
    void sendOrder(const GroupOrder &order, GroupLink::OrderHandler handler);
    std::chrono::milliseconds transferTime(std::size_t bytes) const;
    std::size_t choiceBytes() const;
    void updateGroup();
    std::string agentOf(std::uint32_t rank) const;
    void updateInitialMap(const RoutingService *service);
    const RoutingService *ownService() const;
    void coordinate(TimePoint now);
    GroupLink makeGroupLink();
    void refreshOwnState(TimePoint now);

    asio::io_context &m_io;
    ExpertAgentSettings m_settings;
    GatewayDialect m_dialect;
    GroupCoordinatorConfig m_coordinatorConfig;
    std::string m_ip;
    std::uint16_t m_peerPort;
    std::mt19937_64 m_random;
    BackendTable m_servers;
    BackendRegistry m_registry;
    std::unique_ptr<RoutingTable> m_table;
    std::optional<BackendRecord> m_ownServer; ///< Server on this machine, as last announced.
    std::map<std::uint32_t, std::string> m_agents; ///< Addresses of the group's agents by rank, as last announced.
    StoreReader m_configReader;
    StoreReader m_serverReader;
    HttpCaller m_caller;
    RankClient m_rank; ///< The server on this machine.
    HttpServer m_peerServer;
    std::unique_ptr<GroupCoordinator> m_coordinator;
    std::optional<RankState> m_ownState;
    GroupLoadCache m_loads; ///< Of the group, as sent by the coordinator.
    TimePoint m_nextOwnStateAt{};
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    std::function<SettingsParseResult<ExpertAgentSettings>()> m_readSettings;
};

} // namespace turmericline
