#pragma once

#include "pool_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** What a backend server announces of itself. */
struct BackendRecord
{
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT".
    std::string domain;
    std::uint32_t slots = 1;
    bool isLeaving = false; ///< Takes no new requests.
    bool isGroupBroken = false; ///< Its group of ranks serves nothing at present.
    std::string group; ///< Of ranks that advance in lock-step; empty for none.
    std::uint32_t rank = 0;
    std::uint64_t groupEpoch = 0; ///< Grows each time the group forms anew.
    std::int64_t bornMs = 0; ///< Unix time of its start; a new value is a new incarnation under the same id.

    bool operator==(const BackendRecord &) const = default;
};

/** Running and waiting requests that a server stated, from all gateways. */
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pace = 1; ///< Time that work takes at present in units of the usual time; over 1 for a slow server.
};

/** A backend server and what this gateway has learned of it. */
struct Backend
{
    BackendRecord record;
    std::uint32_t inFlight = 0; ///< Requests of this gateway.
    double othersInFlight = 0; ///< Last stated load, less the share of this gateway.
    TimePoint loadAt{}; ///< When that load was stated.
    std::uint32_t inFlightAtAsk = 0; ///< Requests of this gateway when the load of the group was last asked for.
    double pace = 1; ///< Last stated one.
    TimePoint groupLoadAt{}; ///< When the loads of its whole group were last read.
    std::uint32_t failures = 0; ///< Since the last good answer.
    TimePoint pausedUntil{}; ///< Gets no requests before.
    bool isDown = false; ///< The pause is for a fault, not for want of room.
};

/** Why a server gets no requests for a while. */
enum class BackendFault {
    Unreachable, ///< No connection, or silence.
    Broken, ///< An answer that was cut or malformed.
    Failing, ///< It failed at a request by its own account.
    Full, ///< It refused for want of room.
    Misdirected, ///< Another server has its address.
    Stalled, ///< Its group of ranks is stalled or broken.
};

struct BackendPick
{
    std::string id;
    std::string address;
};

/**
 * Backend servers by service, with the choice of one for each attempt.
 *
 * Load pattern: many streams of similar size on ranks that advance in lock-step, so that the most loaded rank sets the
 * pace of all. The choice evens out the number of requests per rank, from the loads of the whole group where they are
 * known; a server in another failure domain is taken only if it has a lower load, since bytes between failure domains
 * are dear.
 */
class BackendTable
{
public:
    explicit BackendTable(std::string domain);

    /** Adds a server or updates it; a new incarnation starts without history. */
    void upsert(BackendRecord record);
    void remove(std::string_view id);
    const Backend *find(std::string_view id) const;
    std::vector<std::string> ids() const;

    /** Chooses the server with the lowest load, leaving out @p tried and paused ones; nothing if none is left. */
    std::optional<BackendPick>
    choose(TimePoint now, std::string_view service, std::span<const std::string> tried, std::mt19937_64 &random) const;
    /** No server of the service can be expected to serve; otherwise some are only busy. */
    bool isDown(TimePoint now, std::string_view service) const;

    void onStart(std::string_view id);
    void onEnd(std::string_view id);
    void onSuccess(std::string_view id);
    void onFault(TimePoint now, std::string_view id, BackendFault fault);
    void onLoad(TimePoint now, std::string_view id, BackendLoad load);

    /** Servers that are rank @p rank of their group. */
    std::vector<BackendRecord> groupLeaders(std::uint32_t rank) const;
    /** The loads of a group are asked for; what this gateway sends from now on is not in them. */
    void onGroupAsked(std::string_view group);
    /** @p loads by rank; nothing for a rank that is not heard of. */
    void onGroupLoads(TimePoint now, std::string_view group, std::span<const std::optional<BackendLoad>> loads);

private:
    /** Requests of all gateways there, as far as known. */
    static double load(TimePoint now, const Backend &backend);
    double score(TimePoint now, const Backend &backend) const;
    static void pause(TimePoint now, Backend &backend, BackendFault fault);
    Backend *findMutable(std::string_view id);

    std::string m_domain;
    std::unordered_map<std::string, std::shared_ptr<Backend>, StringHash, std::equal_to<>> m_backends;
    std::map<std::string, std::vector<std::shared_ptr<Backend>>, std::less<>> m_services;
};

} // namespace turmericline
