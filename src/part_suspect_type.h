#pragma once

#include "suspect_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** A part of the prompts of requests that a backend server left unanswered when it ended. */
struct PartInFlight
{
    Fingerprint part;
    std::uint32_t position = 0; ///< In the prompt, from 0.
    Age runTime{}; ///< Time from the sending of the last of them to the end of the server.

    bool operator==(const PartInFlight &) const = default;
};

/** States that a backend server ended with unanswered requests with a part. */
struct PartCrash
{
    std::string server;
    std::uint64_t incarnation = 0; ///< Run of the backend server.
    Age age{}; ///< Time from the end of the server to the report.
    Age requestAge{}; ///< Time from the sending of the last of these requests to the report.
};

/** What one process knows of a part. Reports of several processes can be merged in any order, and more than once. */
struct PartReport
{
    Fingerprint part;
    std::uint32_t position = 0;
    std::uint32_t sent = 0; ///< Requests with the part sent since the last answer to one; the most of any process.
    std::optional<Age> soundAge; ///< Time since a server got on with an answer to a request with the part.
    std::vector<PartCrash> crashes; ///< Since then.
};

struct PartSuspectSettings
{
    /** Series of crashes from which a part is refused, if no request with it was ever seen to get an answer. */
    std::size_t newPartLimit = 2;
    /** As above, if one was seen to get an answer before. */
    std::size_t knownPartLimit = 4;
    /**
     * Ends from which a part that was never answered is refused, even if they were at the same time. Not if many more
     * requests with it were sent: servers that end for a common cause have requests with a frequent part as well.
     */
    std::size_t newPartEnds = 4;
    std::uint32_t maxSentPerEnd = 2;
    /**
     * A part with at least knownPartLimit series, and at most so many requests for each end, explains ends before any part
     * with fewer: one cause of many ends is more likely than one for each two of them.
     */
    std::uint32_t maxSentPerEndIfStrong = 8;
    /**
     * Ends that follow the first one of a series by less may have one common cause, so they count once. This does not
     * hold for an end under a request that was sent after the first one.
     */
    Age seriesTime{std::chrono::seconds(1)};
    /** After the last crash, a part is refused for so long; twice as long with each further series. */
    Age minHold{std::chrono::seconds(60)};
    Age maxHold{std::chrono::seconds(300)};
    /** A request that tests whether a part still crashes servers has shown its effect after this time. */
    Age testTime{std::chrono::seconds(10)};
    /**
     * A part counts as sound once servers have outlived so many requests with it whose callers had left, with no crash
     * in between. A server that notices that its caller has left does not run the request, so fewer prove nothing.
     */
    std::uint32_t survivedIfSound = 8;
    std::size_t maxParts = 512; ///< Bound of the parts with crashes.
    std::size_t maxCrashesPerPart = 8;
    std::size_t maxHistory = 4'096; ///< Bound of the parts whose use is remembered.
};

} // namespace turmericline
