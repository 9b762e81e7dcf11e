#pragma once

#include "ticket_type.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace turmericline {

/** Hash of workspace, service and body of a request. */
struct Fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const Fingerprint &, const Fingerprint &) = default;

    friend bool operator<(const Fingerprint &a, const Fingerprint &b)
    {
        return std::tie(a.high, a.low) < std::tie(b.high, b.low);
    }
};

/** States that a fingerprint was in flight when a run of a backend server ended unexpectedly. */
struct CrashReport
{
    Fingerprint fingerprint;
    std::string server;
    std::uint64_t incarnation = 0; ///< Run of the backend server; a repeated report names the same run.
    std::string domain;
    Age age{}; ///< Time since the crash when the report was made; a duration, as clocks are not compared.
    bool isCleared = false; ///< The fingerprint has completed elsewhere since.
};

enum class SuspectAction {
    Run,
    RunAlone, ///< Run while no other request is in flight on the server.
    Refuse,
};

struct SuspectDecision
{
    SuspectAction action = SuspectAction::Run;
    Age retryAfter{}; ///< Set for SuspectAction::Refuse.
};

struct SuspectSettings
{
    Age hold{std::chrono::seconds(300)}; ///< A suspicion ends this long after its last crash.
    std::size_t domainLimit = 2; ///< Crashes in one failure domain from which a fingerprint is refused.
    std::size_t totalLimit = 3; ///< Crashes in all from which a fingerprint is refused.
    std::size_t maxFingerprints = 4096;
    std::size_t maxReportsPerFingerprint = 8;
};

} // namespace turmericline
