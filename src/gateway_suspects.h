#pragma once

#include "crash_detector.h"
#include "crash_probe.h"
#include "gossip.h"
#include "http_caller.h"
#include "http_server.h"
#include "part_suspect.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

struct GatewaySuspectSettings
{
    std::chrono::milliseconds hold{}; ///< A suspicion ends this long after its last crash.
    std::string domain; ///< Failure domain of this gateway.
    std::string listen; ///< "IP:PORT" for messages of other gateways; without it, nothing is exchanged.
    std::vector<std::string> seeds; ///< "IP:PORT" of some gateways.
};

/**
 * A gateway's knowledge of requests, and of parts of prompts, that crash backend servers. Probes servers that broke off attempts, exchanges crash
 * reports with other gateways, and logs what it learns.
 */
class GatewaySuspects
{
public:
    GatewaySuspects(asio::io_context &io,
                    const GatewaySuspectSettings &settings,
                    const BackendTable &servers,
                    ServerLimits &limits,
                    std::mt19937_64 &random);

    SuspectTable &table()
    {
        return m_table;
    }

    PartSuspects &parts()
    {
        return m_parts;
    }

    CrashDetector &detector()
    {
        return m_detector;
    }

    /** Port for messages of other gateways; 0 if nothing is exchanged. */
    std::uint16_t port() const;
    void setSeeds(std::vector<std::string> seeds);
    void tick(TimePoint now);
    /** Probes the servers that left attempts unanswered; called when a request has failed, ahead of the next tick. */
    void probeServers(TimePoint now);
    nlohmann::json status() const;
    /** Number of gateways that this one knows, itself included. */
    std::size_t gatewayCount() const;
    FleetView fleetView(TimePoint now);
    /** "IP:PORT" of a random live gateway; empty if there is none. */
    std::string choosePeer(TimePoint now) const;

    using PeerCallHandler
        = std::function<void(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)>;
    /** Sets the handler of other calls of gateways to @p target. */
    void setPeerCallHandler(std::string_view target, PeerCallHandler handler);
    /** "IP:PORT" at which other gateways reach this one; empty if nothing is exchanged. */
    std::string ownAddress() const;
    /** Other gateways in this failure domain that were alive lately. */
    std::vector<std::string> nearGateways(TimePoint now) const;

private:
    void listen(const GatewaySuspectSettings &settings, ServerLimits &limits, std::mt19937_64 &random);
    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void onGossip(const HttpRequest &request, HttpResponder &responder);
    void sendGossip(TimePoint now);
    void call(TimePoint now, const GossipCall &call);
    void onReply(const std::string &address, const std::optional<HttpReply> &reply, const std::string &reason);
    void probe(const ServerIncarnation &server);
    void recordEnd(TimePoint now, const ServerEnd &end);
    void recordSurvived(TimePoint now);
    void onReceived(TimePoint now, const Gossip::Received &received);
    void logReceived(TimePoint now, const Gossip::Received &received) const;
    void logClearedParts();
    void checkForSuspension(TimePoint now);

    asio::io_context &m_io;
    const BackendTable &m_servers;
    SuspectTable m_table;
    PartSuspects m_parts;
    CrashDetector m_detector;
    std::map<std::string, std::unique_ptr<CrashProbe>> m_probes; ///< By server.
    HttpCaller m_caller;
    std::unique_ptr<HttpServer> m_server; ///< Null if nothing is exchanged, as m_gossip.
    std::optional<Gossip> m_gossip;
    std::map<std::string, PeerCallHandler, std::less<>> m_handlers; ///< By target.
    TimePoint m_nextExpiryAt{};
    std::chrono::nanoseconds m_suspendedTime{}; ///< Time that this machine has been suspended since it started.
};

} // namespace turmericline
