#pragma once

#include "health_type.h"

#include <unordered_map>
#include <vector>

namespace turmericline {

/** Returns the key of a backend server, which is the same in every process. */
ServerKey serverKey(std::string_view name);

/**
 * Health of the backend servers as seen by an entry, derived from the instance list, its own traffic and the reports of
 * its neighbours. Own traffic has priority: neither the list nor reports can exclude a server that answers, unless it
 * is leaving.
 */
class HealthTable
{
public:
    explicit HealthTable(HealthConfig config = {});

    void add(TimePoint now, ServerKey server);
    void remove(ServerKey server);
    void setListed(TimePoint now, ServerKey server, ListedState state);
    /** Sets whether the configuration document declares the server as leaving. */
    void setLeaving(ServerKey server, bool isLeaving);

    /** Records an answer. @p latency is the time between tokens or, for plain services, that of the whole call. */
    void onSuccess(TimePoint now, ServerKey server, std::uint64_t incarnation, std::chrono::duration<double> latency);
    /** Records a failed connection or a request that timed out. A rejection by the agent is not a failure. */
    void onFailure(TimePoint now, ServerKey server);
    /** Records any end of a request. A rejection, for example, is no evidence of health but ends a probe. */
    void onEnd(ServerKey server);
    /** Records a suspicion reported by another entry. */
    void onReport(TimePoint now, EntryKey reporter, const HealthReport &report);
    /** Compares the latencies of the servers. Must be called every second. */
    void tick(TimePoint now);

    HealthState state(TimePoint now, ServerKey server) const;
    bool isRoutable(TimePoint now, ServerKey server) const;
    /** Returns whether a suspected server should get the next idempotent request as a probe, which then starts. */
    bool takeProbe(TimePoint now, ServerKey server);
    /** Returns the latency divided by the median of all servers; 1 if unknown. */
    double slowness(ServerKey server) const;
    /** Returns at most @p limit own suspicions without an answer since. Those reported by others are not forwarded. */
    std::vector<HealthReport> suspects(std::size_t limit) const;

private:
    struct Report
    {
        EntryKey reporter = 0;
        TimePoint at{};
    };

    struct Row
    {
        std::uint64_t incarnation = 0;
        double latency = 0; ///< Smoothed, in seconds; 0 if unknown.
        unsigned failures = 0; ///< Consecutive failures.
        unsigned successes = 0; ///< Consecutive successes since it was suspected.
        unsigned ticksBeyondThreshold = 0; ///< Consecutive ticks beyond the threshold that changes isSlow.
        bool isSuspected = false;
        bool isProbeActive = false; ///< Whether a probe is in progress.
        bool isSlow = false;
        bool isLeaving = false;
        ListedState listed = ListedState::Live;
        TimePoint listedSince{};
        TimePoint lastSuccess{};
        TimePoint lastProbe{};
        std::array<Report, 4> reports{};
    };

    bool isReported(TimePoint now, const Row &row) const;
    bool isAbsent(TimePoint now, const Row &row) const;
    const Row *find(ServerKey server) const;
    void updateSlow(Row &row) const;

    HealthConfig m_config;
    std::unordered_map<ServerKey, Row> m_rows;
    double m_median = 0;
};

} // namespace turmericline
