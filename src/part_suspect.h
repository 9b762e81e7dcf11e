#pragma once

#include "part_suspect_type.h"
#include "send_history.h"

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace turmericline {

/**
 * Finds the part of prompts under which backend servers end, whatever else the requests hold, and refuses the requests
 * with it. Gateways exchange what they know.
 *
 * Expected load: requests with a part that crashes each server, no two alike, at any gateway, among sound requests that
 * share their workspace and their other parts. When a server ends, each part of the requests that it left unanswered is
 * a candidate. A part is accused once servers have ended under it several times, no request with it has got on in
 * between, and no part that is more likely the cause explains those ends: one that is in far more of them, was never
 * answered, or has more ends for its requests. A part that sound requests share is answered again and again, so it is not
 * accused. Parts that nothing tells apart are accused together: only requests that have all of them are refused.
 */
class PartSuspects
{
public:
    explicit PartSuspects(PartSuspectSettings settings, std::uint64_t seed = 0);

    /** Records that run @p incarnation of @p server ended at @p when, with unanswered requests with these parts. */
    void recordCrash(std::span<const PartInFlight> parts, std::string_view server, std::uint64_t incarnation, Age when);
    /** Records that a request with these parts is sent to a server. */
    void recordSent(std::span<const Fingerprint> parts);
    /** Records that such a request has not been run. */
    void recordNotRun(std::span<const Fingerprint> parts);
    /** Records that a server got on with an answer to a request with these parts. */
    void recordSound(std::span<const Fingerprint> parts, Age now);
    /** Records that a server has outlived a request with these parts whose caller had left. */
    void recordSurvived(std::span<const Fingerprint> parts, Age now);
    /** Merges a report of another process; returns false if it contains nothing new. */
    bool merge(const PartReport &report, Age now);

    /**
     * Decides on a request with these parts. SuspectAction::RunAlone means that it tests whether a part still crashes
     * servers.
     */
    SuspectDecision decide(std::span<const Fingerprint> parts, Age now) const;
    /** Like decide(), for a request that is sent if it is not refused: a test begins with it. */
    SuspectDecision admit(std::span<const Fingerprint> parts, Age now);
    /** Whether this process has seen requests with each of these parts get on with their answers. */
    bool areSound(std::span<const Fingerprint> parts) const;
    /** Whether something became known since the last call that other processes should hear of soon. */
    bool takeNews();

    /** Parts over their limit that were cleared by an answer since the last call. */
    std::vector<Fingerprint> takeCleared();

    /** Reports for a message: accused parts, then those sent least often, until @p fits rejects one. */
    std::vector<PartReport> nextReports(Age now, const std::function<bool(const PartReport &)> &fits);
    /** Up to @p n reports, those with the most crashes first. */
    std::vector<PartReport> allReports(std::size_t n, Age now) const;
    /** Removes parts whose crashes have had no effect for long. */
    void expire(Age now);
    std::size_t size() const;

private:
    struct Crash
    {
        std::string server;
        std::uint64_t incarnation = 0;
        Age when{}; ///< Local time of the end; late by the transmission time of the report, never early.
        Age requestAt{}; ///< Local time at which the last of the requests was sent to the server.
    };

    struct Part
    {
        std::uint32_t position = 0;
        std::uint32_t sentElsewhere = 0; ///< See PartReport::sent; of other processes.
        std::optional<Age> soundAt; ///< Local time.
        std::vector<Crash> crashes; ///< Since soundAt.
        bool hasSeenLast = false; ///< The last crash was seen by this process.
        std::optional<Age> testedAt;
        double testDelay = 1; ///< Spreads the tests of processes that have not seen the last crash.
        unsigned sends = 0;
    };

    using Parts = std::map<Fingerprint, Part>;

    Part *findOrAdd(const Fingerprint &fingerprint, Age now);
    bool addCrash(const Fingerprint &fingerprint, Part &part, Crash crash, bool isOwn);
    bool setSound(const Fingerprint &fingerprint, Part &part, Age soundAt);
    static std::vector<const Crash *> unexplained(const Part &part, const std::vector<const Crash *> &explained);
    std::size_t seriesCount(std::vector<const Crash *> crashes) const;
    std::size_t limit(const Part &part) const;
    bool isCause(const Parts::value_type &part, const std::vector<const Crash *> &crashes) const;
    bool isOverLimit(const Parts::value_type &part) const;
    /** How likely a part is the cause of its ends; a smaller rank is more likely. */
    struct Rank
    {
        bool isWeak = false; ///< Few ends, or many requests for each of them.
        bool wasAnswered = false;
        int sentMagnitude = 0; ///< Of the requests for each end.
        std::size_t missingEnds = 0; ///< Of the most that a part can have.

        auto operator<=>(const Rank &) const = default;
    };

    /** Parts of which one is the cause of the same ends; nothing tells which one. */
    using AccusedParts = std::vector<Fingerprint>;

    Rank rankOf(const Parts::value_type &part) const;
    static bool haveSameCrashes(const std::vector<const Crash *> &a, const std::vector<const Crash *> &b);
    std::uint32_t sentCount(const Fingerprint &fingerprint, const Part &part) const;
    const std::vector<AccusedParts> &accused() const;
    bool isAccused(const Fingerprint &fingerprint) const;
    /** Of the accused parts that are all among @p parts, the first ones each. */
    std::vector<Fingerprint> accusedAmong(std::span<const Fingerprint> parts) const;
    SuspectDecision decidePart(const Part &part, Age now) const;
    bool isForgotten(const Parts::value_type &entry, Age now) const;
    bool makeRoom(Age now);
    static Age lastCrash(const Part &part);
    PartReport reportOf(const Fingerprint &fingerprint, const Part &part, Age now) const;

    PartSuspectSettings m_settings;
    std::mt19937_64 m_random;
    SendHistory m_history;
    Parts m_parts;
    std::vector<Fingerprint> m_cleared; ///< For takeCleared(); bounded by the number of parts.
    bool m_hasNews = false;
    mutable std::optional<std::vector<AccusedParts>> m_accused; ///< Result of accused(); empty after changes.
};

} // namespace turmericline
