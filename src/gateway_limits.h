#pragma once

#include "backend_table.h"
#include "gateway_dialect.h"
#include "http_caller.h"
#include "http_server.h"
#include "routing_table.h"
#include "server_limit.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace turmericline {

/** Numbers of permits since the start of the process, for metrics. */
struct PermitCounts
{
    std::uint64_t asked = 0; ///< Calls of this gateway to owners.
    std::uint64_t received = 0; ///< Answers with a permit.
    std::uint64_t unanswered = 0;
    std::uint64_t granted = 0; ///< By this gateway to others.
    std::uint64_t denied = 0;
};

/**
 * Asks other gateways for permits to servers with limits, answers those that ask this one, sends health checks to servers
 * that take no requests, and logs what changes.
 */
class GatewayLimits
{
public:
    GatewayLimits(asio::io_context &io, const GatewayDialect &dialect, BackendTable &servers, std::uint64_t seed);

    ServerLimits &table()
    {
        return m_table;
    }

    const PermitCounts &counts() const
    {
        return m_counts;
    }

    /** Asks the owner of the server's limit for a permit. @p onAnswer is called once, never from within ask(). */
    void ask(TimePoint now, const std::string &server, std::function<void()> onAnswer);
    /** Answers another gateway that asks for a permit. */
    void onRequest(const HttpRequest &request, HttpResponder &responder);
    /** @p config: for the paths of health checks; null before the first one is known. */
    void tick(TimePoint now, const FleetView &fleet, const RoutingTable *config);
    nlohmann::json status() const;

private:
    void onReply(TimePoint askedAt,
                 const std::string &server,
                 const std::optional<HttpReply> &reply,
                 const std::string &reason);
    void checkForStandstill(TimePoint now);
    void sendHealthChecks(TimePoint now, const RoutingTable &config);
    void onHealthCheck(TimePoint sentAt, const LimitStatement &checked, const std::optional<HttpReply> &reply);
    void applyChanges();
    void expire(TimePoint now);

    asio::io_context &m_io;
    const GatewayDialect &m_dialect;
    BackendTable &m_servers;
    ServerLimits m_table;
    HttpCaller m_caller;
    PermitCounts m_counts;
    TimePoint m_lastTickAt{};
    std::chrono::nanoseconds m_suspendedTime{}; ///< Time that this machine has been suspended since it started.
    TimePoint m_nextExpiryAt{};
};

} // namespace turmericline
