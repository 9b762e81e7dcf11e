#pragma once

#include "backend_table.h"
#include "pass_time.h"
#include "routing_table.h"
#include "time_type.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** What the admission of a request depends on. */
struct AdmissionRequest
{
    std::string_view service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::optional<std::chrono::milliseconds> gapTarget; ///< Longest pause between events for the answer to be in time.
    std::uint64_t promptTokens = 0; ///< 0 if not known.
    std::optional<std::uint64_t> answerTokens; ///< The caller's estimate, which is often far off.
    std::optional<std::uint64_t> maxAnswerTokens;
};

/** Why a group takes no further request, for logs. */
struct AdmissionBasis
{
    double load = 0; ///< Requests per rank.
    double limit = 0; ///< Of this request's priority and size.
    std::chrono::milliseconds pause{}; ///< Between events, at that load and the slowest passes of the last seconds.
};

struct AdmissionDecision
{
    bool isAdmitted = true;
    std::vector<std::string> fullGroups; ///< Groups that the request must not go to.
    std::optional<AdmissionBasis> basis; ///< If it is not admitted: that of the least loaded group.
    double urgentShare = 0; ///< Part of the demand that is more urgent, 0 to 1; if it is not admitted.
};

/** Numbers of requests of one priority since the start of the process, for metrics. */
struct AdmissionCounts
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
};

/**
 * Admission control of services whose requests have different priorities.
 *
 * Expected load: more streams than the groups of ranks can serve in time, as when one kind of request doubles for some
 * seconds. Each further request in a batch slows down all others, so beyond some load all of them are late. Requests
 * beyond that load are refused at once, the less urgent ones first: each priority leaves room for the part of the demand
 * that is more urgent, and within a priority the largest requests give way a little earlier, since they take the most room.
 *
 * The load limit of a group follows from its passes (PassTimeEstimate), which every gateway sees. No messages are
 * exchanged; without loads of a group there is no limit for it, and without recent pauses it is that of the slots. Does no I/O
 * and does not read the clock.
 */
class Admission
{
public:
    explicit Admission(std::uint64_t seed);

    /** Sets the services of a new configuration: those with an engine and routes of different priorities are limited. */
    void setConfig(const RoutingConfig &config);
    /** Sets the loads of all groups, some times a second. */
    void setLoads(const std::vector<GroupLoad> &loads);
    /** Called with each pause between two events of a stream from a rank of @p group. */
    void onPause(TimePoint now, std::string_view group, std::chrono::duration<double> pause);

    AdmissionDecision decide(TimePoint now, const AdmissionRequest &request);
    /** Called if an admitted request is sent to a rank of @p group. */
    void onSent(std::string_view group);
    /**
     * Latency target that limits how long a request may wait at a rank: that of its route, or of a more urgent route of the
     * service if that is shorter. Otherwise less urgent requests could wait where more urgent ones are refused.
     */
    std::chrono::milliseconds
    latencyTarget(std::string_view service, std::uint32_t priority, std::chrono::milliseconds ownTarget) const;

    /** By priority; less urgent ones than the last count as that. */
    const std::array<AdmissionCounts, 10> &counts() const
    {
        return m_counts;
    }

private:
    struct Service
    {
        EngineProfile engine;
        std::map<std::uint32_t, std::chrono::milliseconds> latencyTargets; ///< Shortest of the routes, by priority.
        std::array<double, 10> demand{}; ///< By priority: requests, the older ones with less weight.
        double meanWorkMs = 0; ///< Of recent requests; 0 if not known.
        TimePoint decayedAt{};
    };

    struct Group
    {
        std::string service;
        double ranks = 0;
        double requests = 0; ///< As last reported, and those sent by this gateway since.
        PassTimeEstimate passTime;
    };

    void record(TimePoint now, Service &service, const AdmissionRequest &request);
    double limitOf(TimePoint now, const Service &service, const Group &group, const AdmissionRequest &request) const;
    static double urgentShare(const Service &service, std::uint32_t priority);
    static double workMs(const EngineProfile &engine, const AdmissionRequest &request);
    static double sizeFactor(const Service &service, double workMs);

    std::map<std::string, Service, std::less<>> m_services; ///< By name; only those with a limit.
    std::map<std::string, Group, std::less<>> m_groups; ///< By name; only those of these services.
    std::array<AdmissionCounts, 10> m_counts{};
    std::mt19937_64 m_random;
};

} // namespace turmericline
