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
    /** An instance that received no new confirmation for this long reads the service itself. */
    Duration confirmationTimeout{3000};
    Duration maxWatchTime{1000}; ///< Longest duration of a watch; short, because its end is a confirmation.
    Duration watchPause{20}; ///< Pause between two watches.
    Duration minRetryDelay{500}; ///< Delay after the first failed read; doubles with every further one.
    Duration maxRetryDelay{30000}; ///< Upper bound of the retry delay.
    double readsPerSecond = 2000; ///< Capacity of the configuration service for all readers together.
    double budgetShare = 0.5; ///< Part of that capacity which the fleet may use when all instances read.
    double probesPerSecond = 20; ///< Reads of the whole fleet while the service is down, to notice its return.
};

/** An instance that may read the configuration service. */
struct WatchEntry
{
    std::string name;
    std::string domain;
};

enum class ReadResult {
    Confirmed, ///< The service has the newest document that is known here, or a newer one.
    Stale, ///< The service has an older document.
    Failed,
};

/**
 * Decides when an instance reads the configuration service. The first instances of each failure domain by rendezvous
 * hash keep a watch (a long poll) open. The others read only if they have received no confirmation of the document for
 * some time. The caller has to end a read that is not a watch after a second, so that slow reads do not exceed the
 * budget.
 */
class ConfigWatchPolicy
{
public:
    using Clock = std::chrono::steady_clock;
    using Duration = WatchSettings::Duration;

    ConfigWatchPolicy(WatchEntry self, WatchSettings settings, std::uint64_t seed, Clock::time_point now);

    /**
     * Sets the live instances of this failure domain and the number of all instances that may read. The instance list
     * can lack most of them, so callers add the peers that they have recently heard from.
     */
    void setFleet(const std::vector<WatchEntry> &live, std::size_t fleetSize);

    /** Returns whether this instance keeps a watch open. */
    bool isWatcher() const
    {
        return m_isWatcher;
    }

    /** Returns the time of the next read or watch. A confirmation may postpone it. */
    Clock::time_point nextRead() const;

    void readEnded(Clock::time_point now, ReadResult result);

    /** Records that, according to a peer, the service confirmed the document @p age ago. */
    void confirmed(Clock::time_point now, Duration age);

    /** Returns the time since the last confirmation, to be sent to the peers. */
    Duration confirmationAge(Clock::time_point now) const;

private:
    WatchEntry m_self;
    WatchSettings m_settings;
    std::mt19937_64 m_random;
    Clock::time_point m_confirmed; ///< When the service last confirmed the document to any instance.
    Clock::time_point m_confirmationReceived; ///< When this instance received that confirmation.
    Clock::time_point m_notBefore; ///< End of the pause after the last read.
    Duration m_timeoutJitter{0}; ///< Spreads reads of instances that start or time out simultaneously.
    std::size_t m_fleetSize = 1;
    int m_failures = 0;
    bool m_hasRead = false;
    bool m_isWatcher = true;

    Duration minReadInterval() const;
    Duration maxRetryInterval() const;
    Duration jitter(Duration range);
};

} // namespace turmericline
