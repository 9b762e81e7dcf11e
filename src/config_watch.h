#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace turmericline {

struct WatchSettings
{
    using Duration = std::chrono::milliseconds;

    std::size_t watchersPerDomain = 2;
    Duration silence{3000}; ///< Without a new confirmation for this long, every instance reads.
    Duration watchTime{1000}; ///< A watch returns after this long at the latest, because its end is a confirmation.
    Duration watchPause{20}; ///< Between two watches.
    Duration firstRetry{500};
    Duration longestRetry{30000};
    double readsPerSecond = 2000; ///< What the configuration service serves to all readers together.
    double budgetShare = 0.5; ///< Part of it that the fleet may use when all instances read.
    double probesPerSecond = 20; ///< Reads of the whole fleet while the service is down, for a quick recovery.
};

/** An instance that may read the configuration service. */
struct WatchEntry
{
    std::string name;
    std::string domain;
};

enum class ReadResult {
    Confirmed, ///< The service returned the newest document that is known here, or a newer one.
    Stale, ///< It returned an older one.
    Failed,
};

/**
 * Decides when an instance reads the configuration service. The first instances of each failure domain by rendezvous
 * hash keep a watch open; the others read only if nobody has confirmed the document for some time. The caller ends a
 * read, unless it is a watch, after a second, so that slow reads do not add up beyond the budget.
 */
class ConfigWatchPolicy
{
public:
    using Clock = std::chrono::steady_clock;
    using Duration = WatchSettings::Duration;

    ConfigWatchPolicy(WatchEntry self, WatchSettings settings, std::uint64_t seed, Clock::time_point now);

    /**
     * Takes the live instances of this failure domain, and the number of all that may read. The instance list alone
     * can lack most of them, so callers add the peers that they heard of a short while ago.
     */
    void setFleet(const std::vector<WatchEntry> &live, std::size_t fleetSize);

    /** True if this instance keeps a watch open rather than reading now and then. */
    bool isWatcher() const
    {
        return m_isWatcher;
    }

    /** Time of the next read or watch; a later confirmation may move it. */
    Clock::time_point nextRead() const;

    void readEnded(Clock::time_point now, ReadResult result);

    /** Notes that the service confirmed the document @p age ago, according to a peer. */
    void confirmed(Clock::time_point now, Duration age);

    /** Time since the last confirmation, for the peers. */
    Duration confirmationAge(Clock::time_point now) const;

private:
    WatchEntry m_self;
    WatchSettings m_settings;
    std::mt19937_64 m_random;
    Clock::time_point m_confirmed; ///< When the service confirmed the document to some instance.
    Clock::time_point m_heard; ///< When this instance heard of it.
    Clock::time_point m_notBefore; ///< End of the pause after the last read.
    Duration m_silenceJitter{0}; ///< Spreads the reads of instances that start, or miss a confirmation, together.
    std::size_t m_fleetSize = 1;
    int m_failures = 0;
    bool m_hasRead = false;
    bool m_isWatcher = true;

    Duration leastInterval() const;
    Duration longestInterval() const;
    Duration jitter(Duration range);
};

} // namespace turmericline
