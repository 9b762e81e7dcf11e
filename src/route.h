#pragma once

#include "route_type.h"

#include <concepts>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace turmericline {

using RouteRandom = std::mt19937_64;

/** Policy that returns the index of one of the routable servers; @p servers is never empty. */
template<typename P>
concept RoutePolicy = requires(P policy,
                               const RouteConfig &config,
                               const RouteRequest &request,
                               std::span<const RouteServer> servers,
                               RouteRandom &random)
{
    {
        policy.choose(config, request, servers, random)
        } -> std::convertible_to<std::size_t>;
};

/** Rendezvous hash of @p prefix and @p server. The affinity order of a prefix sorts the servers by it, descending. */
std::uint64_t affinity(std::uint64_t prefix, ServerKey server);

/** Baseline: uniformly at random. */
struct RandomPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Baseline: the lowest reported load; ignores the requests that the entry has sent since the report. */
struct LeastReportedPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Baseline: always the first server of the affinity order. */
struct AffinityPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Compares the first server of the affinity order that is not overloaded with a random one; the lower score wins. */
struct BoundedAffinityPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Expected latency of a request at @p server, minus that at an idle, local server of median speed. */
Seconds routeScore(const RouteConfig &config, const RouteServer &server);

/** Maps each prefix to the server that last received it; evicts the prefix that was inserted first when full. */
class PrefixMemory
{
public:
    explicit PrefixMemory(std::size_t capacity);

    void store(TimePoint now, std::uint64_t prefix, ServerKey server);
    /** Removes the prefix if @p server holds it, as the server has evicted it from its cache. */
    void drop(std::uint64_t prefix, ServerKey server);
    std::optional<ServerKey> find(TimePoint now, std::uint64_t prefix, Seconds lifetime) const;
    std::size_t size() const;

private:
    struct Row
    {
        ServerKey server = 0;
        TimePoint at{};
    };

    std::size_t m_capacity;
    std::unordered_map<std::uint64_t, Row> m_rows;
    std::vector<std::uint64_t> m_ring; ///< Ring buffer of the prefixes in insertion order.
    std::size_t m_next = 0;
};

/** Routing state of the servers of one service in one entry. */
class RouteTable
{
public:
    explicit RouteTable(const RouteConfig &config = {});

    /** Adds a server, or updates its slots and round-trip time. */
    void add(TimePoint now, ServerKey key, std::uint32_t slots, Seconds roundTrip);
    void remove(ServerKey key);
    void setHealth(ServerKey key, bool isRoutable, double slowness);
    /** @p age is the time since the load was measured, as stated by the agent. */
    void onReport(TimePoint now, ServerKey key, double inFlightAndQueued, Seconds age);
    void onStart(TimePoint now, ServerKey key, const RouteRequest &request);
    void onEnd(ServerKey key);
    void onEvicted(std::uint64_t prefix, ServerKey key);

    /** Applies @p policy to the routable servers except @p avoided (earlier attempts); std::nullopt if none is left. */
    template<RoutePolicy P>
    std::optional<ServerKey> choose(TimePoint now,
                                    const RouteRequest &request,
                                    P &policy,
                                    RouteRandom &random,
                                    std::span<const ServerKey> excluded = {})
    {
        const auto servers = candidates(now, request, excluded);
        if (servers.empty()) {
            return std::nullopt;
        }
        return servers[policy.choose(m_config, request, servers, random)].key;
    }

    std::span<const RouteServer> servers() const
    {
        return m_servers;
    }

private:
    std::vector<RouteServer>
    candidates(TimePoint now, const RouteRequest &request, std::span<const ServerKey> excluded) const;
    RouteServer *find(ServerKey key);

    RouteConfig m_config;
    std::vector<RouteServer> m_servers;
    PrefixMemory m_prefixes;
};

} // namespace turmericline
