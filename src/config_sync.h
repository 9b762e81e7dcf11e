#pragma once

#include "config_store.h"
#include "config_watch.h"
#include "h2_client.h"
#include "h2_server.h"
#include "platform_client.h"
#include "suspect_sync.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

struct ConfigSyncSettings
{
    std::string name;
    std::string domain;
    bool isEntry = true; ///< Entries gossip with each other; agents get announcements from entries.
    std::vector<std::string> seeds; ///< Addresses of peers to use until the instance list is known.
    std::chrono::milliseconds interval{1'000};
    WatchSettings watch;
};

/**
 * Keeps the configuration document of a process up to date, from the configuration service and from peers. In each
 * round an entry exchanges announcements with the next entry in the ring of its failure domain and with a random entry
 * of another domain. A document that becomes active is announced at once.
 */
class ConfigSync
{
public:
    using Clock = std::chrono::steady_clock;
    using AppliedHandler = std::function<void(const std::shared_ptr<const Document> &document)>;
    /** Returns the connections to agents that get an announcement; only some of them if @p isGossipRound. */
    using AgentSource = std::function<std::vector<std::shared_ptr<H2Client>>(bool isGossipRound)>;

    ConfigSync(asio::io_context &io, PeerTls &tls, ConfigSyncSettings settings, AppliedHandler onApplied);

    void setAgentSource(AgentSource source);
    /** Carries crash reports in the gossip messages; an entry forwards a new report at once. */
    void setSuspects(SuspectSync &suspects);
    void start();
    void setInstances(const std::vector<InstanceInfo> &instances);
    /** Answers /gossip, /query and /document; returns false for other paths. */
    bool handle(H2ServerStream &stream);

    /** Returns handlers that connect a PlatformClient to this object; @p onInstances gets each instance list too. */
    PlatformClient::Handlers
    platformHandlers(std::function<void(const std::vector<InstanceInfo> &instances)> onInstances);

    // Called by the client of the configuration service.
    void offer(const std::string &text);
    void readEnded(ReadResult result);
    Clock::time_point nextRead() const;
    bool isWatcher() const;
    std::uint64_t newestVersion() const;

    nlohmann::json status() const;

private:
    void round();
    void announce(const std::shared_ptr<H2Client> &peer);
    void announceToAgents(bool isGossipRound);
    void announceToPeers();
    void addSuspects(nlohmann::json &message) const;
    void announceReports();
    std::vector<std::shared_ptr<H2Client>> gossipPeers();
    std::shared_ptr<H2Client> client(const std::string &address);
    std::string message() const;
    void onMessage(const nlohmann::json &message);
    void onAnswer(const std::shared_ptr<H2Client> &peer, const std::string &body);
    void push(const std::shared_ptr<H2Client> &peer, const DocumentQuery &query);
    void
    pull(const std::shared_ptr<H2Client> &peer, const DocumentQuery &query, const DocumentAnnouncement &announcement);
    void processUpdate(const std::string &update, const DocumentAnnouncement &announcement);
    void afterApply(const ApplyOutcome &outcome, std::string_view source);

    asio::io_context &m_io;
    PeerTls &m_tls;
    ConfigSyncSettings m_settings;
    AppliedHandler m_onApplied;
    AgentSource m_agents;
    SuspectSync *m_suspects = nullptr;
    ConfigStore m_store;
    ConfigWatchPolicy m_watch;
    std::mt19937_64 m_random;
    std::vector<InstanceInfo> m_entries; ///< Live entries, sorted by name.
    std::map<std::string, std::shared_ptr<H2Client>> m_clients; ///< By address.
    asio::steady_timer m_timer;
    asio::steady_timer m_reportTimer;
    bool m_isReportPending = false;
};

} // namespace turmericline
