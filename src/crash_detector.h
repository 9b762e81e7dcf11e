#pragma once

#include "abandoned_attempts.h"
#include "backend_table.h"
#include "crash_probe.h"
#include "part_suspect_type.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Why a backend server is believed to have ended. */
enum class EndEvidence {
    Unreachable, ///< It refuses new connections after an attempt failed.
    Silent, ///< It does not respond to a new connection after an attempt failed; it may also be cut off.
    Restarted, ///< It announces a later start.
    Withdrawn, ///< Its announcement is gone, and it did not announce that it leaves.
    Reported, ///< Another gateway had firm evidence.
};

inline constexpr std::array<NamedValue<EndEvidence>, 5> endEvidenceNames{{
    {EndEvidence::Unreachable, "unreachable"},
    {EndEvidence::Silent, "silent"},
    {EndEvidence::Restarted, "restarted"},
    {EndEvidence::Withdrawn, "withdrawn"},
    {EndEvidence::Reported, "reported"},
}};

/** End of a backend server, and the requests that it had not answered by then. */
struct ServerEnd
{
    ServerIncarnation server;
    EndEvidence evidence = EndEvidence::Unreachable;
    std::vector<Fingerprint> requests;
    std::vector<PartInFlight> parts; ///< Shared parts of their prompts; none if the server may only be cut off.
    TimePoint at{}; ///< Time at which the first of them failed, or the end was noticed.
    std::size_t abandonedRequests = 0; ///< The last ones of the requests: they had been stopped before the end.
};

/**
 * Finds out under which requests backend servers end. An attempt without an answer alone proves nothing, since the
 * server may be slow or only the connection may have failed. It counts once there is evidence that the server ended. The
 * same holds for an attempt whose caller left: the server may go on with it, and end under it later.
 */
class CrashDetector
{
public:
    /**
     * Records an attempt that the server may have run and did not answer completely. @p parts: the shared parts of its
     * prompt, in order; none if the server had got on with its answer. @p startedAt: when it was sent to the server.
     * @p deadline: the server works on it until then at most.
     */
    void onUnanswered(TimePoint now,
                      const ServerIncarnation &server,
                      const Fingerprint &fingerprint,
                      std::span<const Fingerprint> parts = {},
                      TimePoint startedAt = {},
                      TimePoint deadline = TimePoint::max());
    /**
     * Records an attempt that was stopped for a reason that is no fault of the server. It causes no probe, since callers
     * leave far more often than servers end. @p address: "IP:PORT" of the server.
     */
    void onAbandoned(const ServerIncarnation &server, const std::string &address, AbandonedAttempt attempt);
    /** A connection to the server could not be made. It is probed if there are abandoned attempts that may have ended it. */
    void onUnreachable(const ServerIncarnation &server);

    /** Returns the servers to probe now, each at most once a second; onProbed() takes the results. */
    std::vector<ServerIncarnation> takeServersToProbe(TimePoint now);
    std::optional<ServerEnd> onProbed(TimePoint now, const ServerIncarnation &server, ProbeResult result);
    /** Compares the unanswered attempts with the current announcements of servers. */
    std::vector<ServerEnd> checkAnnouncements(TimePoint now, const BackendTable &servers);
    /** Another gateway reports that run @p startTimeMs of a server ended at @p at. */
    void onEndReported(std::string_view server, std::int64_t startTimeMs, TimePoint at);
    /** The end that onEndReported() has told of, if there are abandoned attempts that may have caused it. */
    std::optional<ServerEnd> takeReportedEnd(std::string_view server, std::int64_t startTimeMs);
    /** A server that answers has not ended, whatever was reported, and requests whose time is over will not end it. */
    void onAnswered(TimePoint now, const ServerIncarnation &server);
    /** Abandoned attempts that their servers have outlived, since the last call. */
    std::vector<AbandonedAttempt> takeSurvived();
    /** Address of a server with abandoned attempts, whose announcement may be gone. */
    std::optional<std::string> addressOf(const ServerIncarnation &server) const
    {
        return m_abandoned.addressOf(server);
    }
    /** When the server ended, if there was firm evidence lately. Requests that were sent later did not end it. */
    std::optional<TimePoint> endOf(const ServerIncarnation &server) const;

private:
    struct UnansweredAttempt
    {
        ServerIncarnation server;
        Fingerprint fingerprint;
        std::vector<Fingerprint> parts;
        TimePoint startedAt{};
        TimePoint endedAt{};
        TimePoint deadline{};
        bool isReported = false; ///< The end of its server was reported, but without its parts.
    };

    struct RecentEnd
    {
        std::string server;
        std::int64_t startTimeMs = 0;
        TimePoint at{};
    };

    void expire(TimePoint now);
    ServerEnd takeEnd(TimePoint now, const ServerIncarnation &server, EndEvidence evidence);
    void addAbandoned(ServerEnd &end, TimePoint until);
    void onAlive(TimePoint now, const ServerIncarnation &server);
    void addToProbe(const ServerIncarnation &server);
    void checkAbandoned(TimePoint now, const BackendTable &servers, std::vector<ServerEnd> &ends);
    std::vector<const UnansweredAttempt *> attemptsWithSameCause(const ServerIncarnation &server) const;

    std::vector<UnansweredAttempt> m_unanswered; ///< Oldest first.
    AbandonedAttempts m_abandoned;
    std::vector<AbandonedAttempt> m_survived; ///< For takeSurvived().
    std::vector<ServerIncarnation> m_toProbe;
    std::map<std::string, TimePoint> m_probedAt; ///< By server.
    std::vector<RecentEnd> m_ended; ///< Oldest first.
};

} // namespace turmericline
