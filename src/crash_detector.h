#pragma once

#include "backend_table.h"
#include "suspect_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** Why a backend server is believed to have ended. */
enum class EndEvidence {
    Unreachable, ///< It accepts no new connection after an attempt failed.
    Restarted, ///< It announces a later start.
    Withdrawn, ///< Its announcement is gone, and it did not announce that it leaves.
};

inline constexpr std::array<NamedValue<EndEvidence>, 3> endEvidenceNames{{
    {EndEvidence::Unreachable, "unreachable"},
    {EndEvidence::Restarted, "restarted"},
    {EndEvidence::Withdrawn, "withdrawn"},
}};

/** End of a backend server, and the requests that it had not answered by then. */
struct ServerEnd
{
    ServerIncarnation server;
    EndEvidence evidence = EndEvidence::Unreachable;
    std::vector<Fingerprint> requests;
};

/**
 * Finds out under which requests backend servers end. An attempt without an answer alone proves nothing, since the
 * server may be slow or only the connection may have failed. It counts once there is evidence that the server ended.
 */
class CrashDetector
{
public:
    /** Records an attempt that the server may have run and did not answer completely. */
    void onUnanswered(TimePoint now, const ServerIncarnation &server, const Fingerprint &fingerprint);

    /** Returns the servers to probe now, each at most once a second; onUnreachable() takes the probes that fail. */
    std::vector<ServerIncarnation> takeServersToProbe(TimePoint now);
    std::optional<ServerEnd> onUnreachable(TimePoint now, const ServerIncarnation &server);
    /** Compares the unanswered attempts with the current announcements of servers. */
    std::vector<ServerEnd> checkAnnouncements(TimePoint now, const BackendTable &servers);

private:
    struct UnansweredAttempt
    {
        ServerIncarnation server;
        Fingerprint fingerprint;
        TimePoint endedAt{};
    };

    void expire(TimePoint now);
    ServerEnd takeEnd(const ServerIncarnation &server, EndEvidence evidence);

    std::vector<UnansweredAttempt> m_unanswered; ///< Oldest first.
    std::vector<ServerIncarnation> m_toProbe;
    std::map<std::string, TimePoint> m_probedAt; ///< By server.
};

} // namespace turmericline
