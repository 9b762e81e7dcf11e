#pragma once

#include "backend_pool.h"
#include "gateway_call.h"
#include "gateway_callers.h"
#include "gateway_feeds.h"
#include "gateway_limits.h"
#include "gateway_metrics.h"
#include "gateway_route.h"
#include "gateway_servers.h"
#include "gateway_settings.h"
#include "gateway_suspects.h"
#include "ops_server.h"
#include "rank_load_reader.h"
#include "region_map.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <unordered_set>

namespace turmericline {

/**
 * Forwards callers' requests to backend servers according to the routes of the configuration. All of its state comes
 * from the platform's store and from the servers' responses; nothing is persisted.
 */
class Gateway
{
public:
    Gateway(asio::io_context &io, const GatewaySettings &settings, GatewayDialect dialect);

    std::uint16_t port() const;
    std::uint16_t readyPort() const;
    /** Port for messages of other gateways; 0 if none are exchanged. */
    std::uint16_t peerPort() const;
    /** Sets the function that rereads the settings on SIGHUP or a changed file. Invalid settings are not applied. */
    void setReload(std::function<SettingsParseResult<GatewaySettings>()> read);

private:
    void accept();
    void addCaller(asio::ip::tcp::socket socket);
    void tick();
    void scheduleTick();
    void onRequest(const std::shared_ptr<CallerConnection> &connection, HttpHead head, std::string body);
    GatewayFeeds::Handlers feedHandlers();
    OpsHandlers opsHandlers();
    void handlePeerCalls();
    void onConfig(const StoreChange &change, std::chrono::milliseconds outage);
    void onServers(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage);
    ServerBasis serverBasis() const;
    void refuse(CallerConnection &connection, const CallerFields &caller, const Reply &reply);
    void onCallEnd(const GatewayCall &call);
    ConfigFreshness freshness() const;
    bool isReady() const;
    void onGatewayCount(std::size_t gateways);
    void waitForSignal();
    void onTerminate();
    void checkSettingsFile(TimePoint now);
    void reload();
    TimePoint stopAt() const;
    void advanceDrain(TimePoint now);

    asio::io_context &m_io;
    GatewaySettings m_settings;
    GatewayDialect m_dialect;
    std::mt19937_64 m_random;
    RegionMap m_regions;
    BackendTable m_backends;
    GatewayLimits m_limits;
    GatewaySuspects m_suspects;
    GatewayServers m_servers;
    RankLoadReader m_rankLoads;
    BackendPool m_pool;
    std::map<std::string, RetryWindow, std::less<>> m_retries;
    RetryWindowConfig m_retryConfig;
    Admission m_admission;
    std::shared_ptr<const RoutingTable> m_table;
    GatewayFeeds m_feeds;
    GatewayMetrics m_metrics;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    asio::signal_set m_signals;
    GatewayCallers m_callers;
    std::unordered_set<std::shared_ptr<GatewayCall>> m_calls;
    std::unique_ptr<OpsServer> m_readyServer;
    std::unique_ptr<OpsServer> m_opsServer;
    bool m_isAccepting = false;
    std::optional<TimePoint> m_drainingSince;
    std::size_t m_cutRequestCount = 0; ///< Requests that were in flight at the end of the grace period.
    std::function<SettingsParseResult<GatewaySettings>()> m_readSettings;
    std::filesystem::path m_settingsFile;
    std::filesystem::file_time_type m_settingsTime{};
    TimePoint m_settingsCheckAt{};
};

} // namespace turmericline
