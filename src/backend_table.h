#pragma once

#include "name_table.h"
#include "pool_type.h"
#include "time_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Announcement of a backend server. */
struct BackendRecord
{
    std::string id;
    std::string service;
    std::string address; ///< "IP:PORT".
    std::string domain;
    std::uint32_t slots = 1;
    bool isLeaving = false; ///< Takes no new requests.
    bool isGroupBroken = false; ///< Its group of ranks cannot serve requests at present.
    std::string group; ///< Group of ranks that advance in lock-step; empty if the server belongs to none.
    std::uint32_t rank = 0;
    std::uint64_t groupEpoch = 0; ///< Increases each time the group is formed again.
    std::int64_t startTimeMs = 0; ///< Unix time of the server's start; a new value is a new incarnation of the id.
    std::optional<std::chrono::milliseconds> coldLeft; ///< How much longer it stays cold, on arrival; if it is stated.

    bool operator==(const BackendRecord &) const = default;
};

/** One run of a backend server, from its start to its end. */
struct ServerIncarnation
{
    std::string id;
    std::int64_t startTimeMs = 0; ///< As in BackendRecord.
    std::string domain;

    bool operator==(const ServerIncarnation &) const = default;
};

/** Load that a server reported: running and waiting requests of all gateways. */
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pace = 1; ///< Current slowdown: 1 at the usual speed, 2 if work takes twice as long.
};

/** A backend server and this gateway's knowledge of its state. */
struct Backend
{
    BackendRecord record;
    std::uint32_t inFlight = 0; ///< Requests of this gateway.
    double othersInFlight = 0; ///< Requests of other gateways: the last reported load minus those of this gateway.
    TimePoint loadAt{}; ///< Time of the last load report.
    std::uint32_t inFlightAtQuery = 0; ///< Requests of this gateway at the last query for the loads of the group.
    double pace = 1; ///< Last reported pace.
    TimePoint groupLoadAt{}; ///< Time of the last report that covered the whole group.
    std::uint32_t failures = 0; ///< Consecutive failures.
    TimePoint pausedUntil{}; ///< The server gets no requests before this time.
    bool isWithheld = false; ///< Its last announcement is invalid, so it gets no requests until a valid one.
    bool isEvacuated = false; ///< The operators have evacuated its failure domain.
    bool isDown = false; ///< The pause was caused by a fault rather than a lack of capacity.
    TimePoint waitsUntil{}; ///< The server wants no requests of this gateway before this time.
    TimePoint noPermitUntil{}; ///< The server has a limit, and there is no permit for this gateway before this time.
};

/** Why a server is paused. */
enum class BackendFault {
    Unreachable, ///< No connection could be made, or the server stopped responding.
    Broken, ///< The response was truncated or malformed.
    Failing, ///< The server reported an error status.
    Full, ///< The server refused the request for lack of capacity.
    Misdirected, ///< The address now belongs to another server.
    Stalled, ///< The server's group of ranks is stalled or broken.
};

inline constexpr std::array<NamedValue<BackendFault>, 6> backendFaultNames{{
    {BackendFault::Unreachable, "unreachable"},
    {BackendFault::Broken, "broken"},
    {BackendFault::Failing, "failing"},
    {BackendFault::Full, "full"},
    {BackendFault::Misdirected, "misdirected"},
    {BackendFault::Stalled, "stalled"},
}};

/** When the first server of a service can take a request again. */
struct ServiceWait
{
    TimePoint until{};
    std::string server; ///< The one that is first.
    bool isForPermit = false; ///< It has a limit and waits for a permit, instead of having stated the time itself.
};

/** Load of the ranks of a group that take requests. */
struct GroupLoad
{
    std::string group;
    std::string service;
    std::size_t ranks = 0;
    double requests = 0; ///< Running and waiting requests of all gateways.
};

/** Servers that a request may go to. */
struct ServerFilter
{
    const std::set<std::string> *domains = nullptr; ///< Failure domains; null for all.
    std::span<const std::string> excludedGroups;

    bool allows(const BackendRecord &record) const;
};

struct BackendPick
{
    ServerIncarnation server;
    std::string address;
    std::string group; ///< As in BackendRecord.
};

/**
 * Backend servers by service; chooses the server for each attempt.
 *
 * Expected load: many streams of similar size on ranks that advance in lock-step, so that the most loaded rank slows
 * down all others. The choice balances the number of requests per rank, using the loads of the whole group where they
 * are known. A rank that gives no report while most others do is silent or cut off, and gets no requests. At more load than the ranks can serve, a request that would wait for a slot beyond its latency target is
 * refused: each one that runs late takes a slot for as long as one that is in time. A server in another failure domain is chosen only if its load is lower, since traffic between failure
 * domains is expensive.
 */
class BackendTable
{
public:
    explicit BackendTable(std::string domain);

    /** Adds or updates a server; a new incarnation starts with a clean state. */
    void upsert(BackendRecord record);
    /** Gives a server no requests until the next upsert(). */
    void withhold(std::string_view id);
    void remove(std::string_view id);
    /** Gives the servers of @p domains no requests, and those of all others again. */
    void setEvacuated(std::set<std::string> domains);
    const Backend *find(std::string_view id) const;
    std::vector<std::string> ids() const;

    /**
     * Chooses a server with a low load, excluding @p tried and paused ones; returns nothing if none is left.
     * @p latencyTarget: for the first part of the answer. Ranks where the request would wait too long for it are left out.
     */
    std::optional<BackendPick> choose(TimePoint now,
                                      std::string_view service,
                                      std::span<const std::string> tried,
                                      std::mt19937_64 &random,
                                      std::optional<std::chrono::milliseconds> latencyTarget = std::nullopt,
                                      const ServerFilter &filter = {}) const;
    /** Returns server @p id if choose() could choose it; nothing otherwise. */
    std::optional<BackendPick>
    pick(TimePoint now, std::string_view id, std::optional<std::chrono::milliseconds> latencyTarget) const;
    /** Whether no server of the service is usable. If false, unavailable servers are only short of capacity. */
    bool isDown(TimePoint now, std::string_view service) const;

    void onStart(std::string_view id);
    void onEnd(std::string_view id);
    /** @p servingTime: from the first part of the answer to its end, for which the request had a slot. */
    void onSuccess(std::string_view id, std::optional<std::chrono::milliseconds> servingTime = std::nullopt);
    void onFault(TimePoint now, std::string_view id, BackendFault fault);
    void onLoad(TimePoint now, std::string_view id, BackendLoad load);
    /** Called if the server states in an answer that it leaves. Returns whether that is new; it lasts for that run. */
    bool onLeaving(const ServerIncarnation &server);
    /** Called if the server wants no requests for @p time. A shorter time than one still running changes nothing. */
    void onRetryAfter(TimePoint now, const ServerIncarnation &server, std::chrono::milliseconds time);
    /** Called if this gateway gets no permit for a server with a limit before @p until. */
    void onNoPermit(const ServerIncarnation &server, TimePoint until);
    /** Called if there may be a permit earlier than that. */
    void onPermitsChanged(std::string_view id);
    /** If no server that could take requests of the service may get any now, returns when the first one may again. */
    std::optional<ServiceWait> waitOf(TimePoint now, std::string_view service) const;

    /** Names of all groups of ranks. */
    std::vector<std::string> groups() const;
    /** Loads of all groups of which most ranks are reported. */
    std::vector<GroupLoad> groupLoads(TimePoint now) const;
    /** Chooses a random rank of a group, in the own failure domain if there is one; nothing if there is no rank. */
    const BackendRecord *chooseNearRank(std::string_view group, std::mt19937_64 &random) const;
    /** Called when the loads of a group are queried. The reply does not include requests sent after that. */
    void onGroupLoadsQueried(std::string_view group);
    /** Applies @p loads that were current at @p readAt, by rank; ranks without a report are empty. Ignores older ones. */
    void onGroupLoads(TimePoint readAt, std::string_view group, std::span<const std::optional<BackendLoad>> loads);

private:
    /** Estimated number of requests of all gateways at @p backend. */
    static double load(TimePoint now, const Backend &backend);
    /** Whether the server takes requests at all, apart from pauses. */
    static bool isOpen(const Backend &backend);
    double score(TimePoint now, const Backend &backend) const;
    /** Whether the group's last loads had one of this rank, and they are recent. */
    static bool isReported(TimePoint now, const Backend &backend);
    /** Whether most ranks of the service are reported, so that the lack of a report tells that something is wrong. */
    static bool areMostReported(TimePoint now, std::span<const std::shared_ptr<Backend>> servers);
    /** Whether requests may be sent to @p backend. @p skipsUnreported: only if its load is known. */
    bool isCandidate(TimePoint now,
                     const Backend &backend,
                     bool skipsUnreported,
                     std::optional<std::chrono::milliseconds> latencyTarget) const;
    double maxWaiting(const Backend &backend, std::optional<std::chrono::milliseconds> latencyTarget) const;
    static void pause(TimePoint now, Backend &backend, BackendFault fault);
    Backend *findMutable(std::string_view id);
    Backend *findRun(const ServerIncarnation &server);

    std::string m_domain;
    std::set<std::string> m_evacuated; ///< Failure domains.
    std::map<std::string, double, std::less<>> m_servingMs; ///< By service: mean time for which a request has a slot.
    std::unordered_map<std::string, std::shared_ptr<Backend>, StringHash, std::equal_to<>> m_backends;
    std::map<std::string, std::vector<std::shared_ptr<Backend>>, std::less<>> m_services;
};

} // namespace turmericline
