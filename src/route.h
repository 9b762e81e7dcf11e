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

/** Chooses one of the routable servers; the span is never empty. */
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

/** Position of the servers in the affinity order of @p prefix (rendezvous hash): the one with the highest value first. */
std::uint64_t affinity(std::uint64_t prefix, ServerKey server);

/** Baseline. */
struct RandomPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Baseline: the lowest reported load, without the entry's own requests since. */
struct LeastReportedPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Baseline: always the first of the affinity order. */
struct AffinityPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** The first of the affinity order that is not overloaded and one other at random; the lower score wins. */
struct BoundedAffinityPolicy
{
    std::size_t choose(const RouteConfig &config,
                       const RouteRequest &request,
                       std::span<const RouteServer> servers,
                       RouteRandom &random) const;
};

/** Expected time that a request spends at @p server beyond that of an idle server of usual speed. */
Seconds routeScore(const RouteConfig &config, const RouteServer &server);

/** Which server last got a prefix; forgets the oldest when it is full. */
class PrefixMemory
{
public:
    explicit PrefixMemory(std::size_t capacity);

    void store(TimePoint now, std::uint64_t prefix, ServerKey server);
    /** The server reported that it no longer has the prefix. */
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
    std::vector<std::uint64_t> m_ring; ///< Prefixes in the order in which they were first stored.
    std::size_t m_next = 0;
};

/** Servers of one service as one entry sees them. */
class RouteTable
{
public:
    explicit RouteTable(const RouteConfig &config = {});

    /** Adds a server, or updates its slots and distance. */
    void add(TimePoint now, ServerKey key, std::uint32_t slots, Seconds distance);
    void remove(ServerKey key);
    void setHealth(ServerKey key, bool isRoutable, double slowness);
    /** @p age is the time since the load was measured, as the agent states it. */
    void onReport(TimePoint now, ServerKey key, double inFlightAndQueued, Seconds age);
    void onStart(TimePoint now, ServerKey key, const RouteRequest &request);
    void onEnd(ServerKey key);
    void onEvicted(std::uint64_t prefix, ServerKey key);

    /** Chooses by @p policy, leaving out @p avoided (servers of earlier attempts); nothing if no server is left. */
    template<RoutePolicy P>
    std::optional<ServerKey> choose(TimePoint now,
                                    const RouteRequest &request,
                                    P &policy,
                                    RouteRandom &random,
                                    std::span<const ServerKey> avoided = {})
    {
        const auto servers = candidates(now, request, avoided);
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
    candidates(TimePoint now, const RouteRequest &request, std::span<const ServerKey> avoided) const;
    RouteServer *find(ServerKey key);

    RouteConfig m_config;
    std::vector<RouteServer> m_servers;
    PrefixMemory m_prefixes;
};

} // namespace turmericline
