#pragma once

#include "health_type.h"

#include <unordered_map>
#include <vector>

namespace turmericline {

/** Key of a backend server, equal in every process. */
ServerKey serverKey(std::string_view name);

/**
 * An entry's view of the backend servers, from the instance list, its own traffic and its neighbours' reports. Own
 * traffic counts most: neither the list nor reports can take away a server that answers, except by Leaving.
 */
class HealthTable
{
public:
    explicit HealthTable(HealthConfig config = {});

    void add(TimePoint now, ServerKey server);
    void remove(ServerKey server);
    void setListed(TimePoint now, ServerKey server, ListedState state);
    /** The document says that the server leaves, or that it does not any more. */
    void setLeaving(ServerKey server, bool isLeaving);

    /** A request was answered; @p latency is the time between tokens or, for plain services, of the whole call. */
    void onSuccess(TimePoint now, ServerKey server, std::uint64_t incarnation, std::chrono::duration<double> latency);
    /** A connection failed, or a request timed out. A rejection by the agent is not a failure. */
    void onFailure(TimePoint now, ServerKey server);
    /** A request ended in any way, such as by a rejection, which says nothing about health but ends a probe. */
    void onEnd(ServerKey server);
    void onReport(TimePoint now, EntryKey reporter, const HealthReport &report);
    /** Compares latencies; call every second. */
    void tick(TimePoint now);

    HealthState state(TimePoint now, ServerKey server) const;
    bool isRoutable(TimePoint now, ServerKey server) const;
    /** Whether a suspected server should get the next idempotent request, to see whether it answers again. */
    bool takeProbe(TimePoint now, ServerKey server);
    /** Latency divided by the median of all servers; 1 if unknown. */
    double slowness(ServerKey server) const;
    /** Own suspicions without an answer since, at most @p limit. What was only reported is not passed on. */
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
        unsigned failures = 0; ///< In a row.
        unsigned successes = 0; ///< In a row, since it was suspected.
        unsigned ticksAcross = 0;
        bool isSuspected = false;
        bool isProbed = false; ///< A probe has not ended yet.
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
