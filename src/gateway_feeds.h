#pragma once

#include "feed_order.h"
#include "feed_relay.h"
#include "gateway_route.h"
#include "store_reader.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/**
 * What a gateway knows of the store: the configuration and the announcements of servers, read by itself or by another
 * gateway of its failure domain. Passes on each state once, and none that is older than one passed on before.
 *
 * Another gateway is believed about the servers and the evacuated failure domains, and about how recently it has seen
 * which version of the configuration.
 * The configuration itself, which holds the keys, is always read from the store.
 */
class GatewayFeeds
{
public:
    struct Handlers
    {
        /** Called with all that the operators write: the configuration and the evacuations. */
        std::function<void(const StoreChange &change, std::chrono::milliseconds outage)> onConfig;
        std::function<void(TimePoint now, const StoreChange &change, std::chrono::milliseconds outage)> onServers;
        /** Returns the version of the configuration in force; 0 if there is none. */
        std::function<std::uint64_t()> configVersion;
        /** Called with the evacuated failure domains as the gateway that is followed knows them. */
        std::function<void(TimePoint now, const std::set<std::string> &domains)> onEvacuated;
        std::function<const std::set<std::string> &()> evacuated;
    };

    GatewayFeeds(asio::io_context &io,
                 const GatewayDialect &dialect,
                 const std::string &store,
                 Handlers handlers,
                 std::mt19937_64 &random);

    /** Takes part in the exchange with other gateways. @p ownAddress: "IP:PORT" at which they reach this one. */
    void startRelay(asio::io_context &io, const std::string &ownAddress);
    /** Answers a poll of another gateway; only after startRelay(). */
    void onPoll(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    /** Stops the exchange, as this process is about to end. */
    void stopRelay();

    /** @p peers: other gateways of the failure domain that were alive lately. */
    void tick(TimePoint now, const std::vector<std::string> &peers);
    void setAddress(const std::string &store);
    void setRereadSpread(std::chrono::milliseconds spread);

    /** Time at which the store last confirmed the configuration in force; nothing before that. */
    std::optional<BootTime> configConfirmedAt() const;
    std::optional<BootTime> serversConfirmedAt() const;
    /** State of the store that the announcements passed on so far reflect. */
    const StorePosition &serversPosition() const
    {
        return m_serversOrder.position();
    }

    /** Address of the gateway that this one follows; empty if it reads the store itself. */
    std::string followedGateway() const;
    /** Number of calls to the store. */
    std::uint64_t callCount() const;

private:
    void onServers(TimePoint now, StoreChange change, std::chrono::milliseconds outage);
    void onReport(BootTime polledAt, FeedReport report);
    FeedReport ownFacts() const;

    Handlers m_handlers;
    std::mt19937_64 &m_random;
    StoreReader m_configReader;
    StoreReader m_serverReader;
    std::unique_ptr<FeedRelay> m_relay; ///< Null without other gateways.
    FeedOrder m_serversOrder;
    std::optional<BootTime> m_relayedConfigAt;
    std::optional<BootTime> m_relayedServersAt;
    std::optional<BootTime> m_relayedEvacuatedAt; ///< When the store confirmed the evacuations of the last report.
    std::chrono::milliseconds m_lastOutage{}; ///< Last outage of the store that this gateway saw itself.
    TimePoint m_lastOutageEndedAt{};
};

} // namespace turmericline
