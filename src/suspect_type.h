#pragma once

#include "name_table.h"
#include "ticket_type.h"
#include "time_type.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <tuple>

namespace turmericline {

/** Hash of a request that is the same for all its copies; see CallerRequest::fingerprint. */
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
    std::uint64_t incarnation = 0; ///< Run of the backend server; repeated reports of a crash have the same one.
    std::string domain;
    Age age{}; ///< Time from the crash to the report; a duration, because clocks of processes are not comparable.
    bool isCleared = false; ///< A request with the fingerprint has completed since.
};

/** How to handle a request, given the crashes it is suspected of. */
enum class SuspectAction {
    Run,
    RunAlone, ///< Run while no other request is in flight on the server.
    Refuse,
};

inline constexpr std::array<NamedValue<SuspectAction>, 3> suspectActionNames{{
    {SuspectAction::Run, "run"},
    {SuspectAction::RunAlone, "run-alone"},
    {SuspectAction::Refuse, "refuse"},
}};

/** Reason that callers and logs are given for SuspectAction::Refuse. */
inline constexpr std::string_view suspectRefusalReason = "the request is suspected of crashing backend servers";

/** Time for the suspect table of a process that uses the steady clock. */
inline Age suspectTime(TimePoint now)
{
    return std::chrono::duration_cast<Age>(now.time_since_epoch());
}

struct SuspectDecision
{
    SuspectAction action = SuspectAction::Run;
    Age retryAfter{}; ///< Set for SuspectAction::Refuse.
};

struct SuspectSettings
{
    Age hold{std::chrono::seconds(300)}; ///< A suspicion ends this long after its last crash.
    std::size_t domainLimit = 2; ///< Number of crashes in one failure domain from which a fingerprint is refused.
    std::size_t totalLimit = 3; ///< Total number of crashes from which a fingerprint is refused.
    std::size_t maxFingerprints = 4096;
    std::size_t maxReportsPerFingerprint = 8;
    /**
     * A request whose caller leaves gets no answer that could clear it. Each time that servers have outlived so many
     * attempts with it, one of its crashes is cleared: one that crashes servers ends far more of them.
     */
    std::uint32_t survivedPerCrash = 6;
    std::uint32_t maxSurvived = 18; ///< Bound of those that count for crashes to come.
    /** Selects where a process begins to count. Many processes together then clear as many crashes as one would. */
    std::uint64_t survivedSeed = 0;
    std::size_t maxHistory = 4'096; ///< Bound of the fingerprints whose outlived attempts are remembered.
    /**
     * Crashes of a fingerprint that follow each other by less count once if as many other servers ended in that time:
     * a failure domain has failed, for example. 0: each one counts.
     */
    Age commonCauseTime{0};
    /** A report is left out of messages after so many of them. Processes that missed some must ask for all. */
    unsigned maxSends = std::numeric_limits<unsigned>::max();
};

} // namespace turmericline
