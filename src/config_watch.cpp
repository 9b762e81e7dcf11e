#include "config_watch.h"

#include <algorithm>

#include <xxhash.h>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds confirmationMargin{250};

std::uint64_t rendezvousHash(const WatchEntry &entry)
{
    const auto text = entry.domain + '\n' + entry.name;
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

ConfigWatchPolicy::ConfigWatchPolicy(WatchEntry self, WatchSettings settings, std::uint64_t seed, Clock::time_point now)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_confirmed(now - settings.confirmationTimeout)
    , m_confirmationReceived(
          now
          - settings.confirmationTimeout) // No confirmation is known after a start, so the first read is due at once.
    , m_notBefore(now)
{
}

void ConfigWatchPolicy::setFleet(const std::vector<WatchEntry> &live, std::size_t fleetSize)
{
    // This instance counts as live even if the instance list does not contain it yet.
    const auto own = rendezvousHash(m_self);
    const auto before = std::ranges::count_if(live, [&](const auto &it) {
        return it.domain == m_self.domain && it.name != m_self.name && rendezvousHash(it) < own;
    });
    m_isWatcher = static_cast<std::size_t>(before) < m_settings.watchersPerDomain;
    fleetSize = std::max<std::size_t>(fleetSize, 1);
    if (fleetSize != m_fleetSize) {
        m_fleetSize = fleetSize;
        m_timeoutJitter = jitter(minReadInterval());
    }
}

/** Read interval at which the whole fleet just stays within its share of the service's capacity. */
ConfigWatchPolicy::Duration ConfigWatchPolicy::minReadInterval() const
{
    const double seconds = static_cast<double>(m_fleetSize) / (m_settings.readsPerSecond * m_settings.budgetShare);
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

/** In a small fleet each instance has to retry more often, so that the return of the service is noticed soon. */
ConfigWatchPolicy::Duration ConfigWatchPolicy::maxRetryInterval() const
{
    const double seconds = static_cast<double>(m_fleetSize) / m_settings.probesPerSecond;
    const auto wanted = std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    return std::max(minReadInterval(), std::clamp(wanted, 2 * m_settings.minRetryDelay, m_settings.maxRetryDelay));
}

ConfigWatchPolicy::Duration ConfigWatchPolicy::jitter(Duration range)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, range.count())(m_random));
}

ConfigWatchPolicy::Clock::time_point ConfigWatchPolicy::nextRead() const
{
    if (m_isWatcher) {
        return m_hasRead ? m_notBefore : m_notBefore + m_timeoutJitter;
    }
    return std::max(m_notBefore, m_confirmationReceived + m_settings.confirmationTimeout + m_timeoutJitter);
}

void ConfigWatchPolicy::readEnded(Clock::time_point now, ReadResult result)
{
    m_hasRead = true;
    if (result == ReadResult::Confirmed) {
        m_failures = 0;
        confirmed(now, Duration(0));
        m_notBefore = now + (m_isWatcher ? m_settings.watchPause : minReadInterval());
        return;
    }
    m_failures = std::min(m_failures + 1, 16);
    const auto longest = maxRetryInterval();
    const auto pause
        = std::clamp(m_settings.minRetryDelay * (Duration::rep{1} << (m_failures - 1)), minReadInterval(), longest);
    m_notBefore = now + pause + jitter(pause);
}

void ConfigWatchPolicy::confirmed(Clock::time_point now, Duration age)
{
    // Ages do not include the time on the network, so a confirmation seems a little younger after every hop. Without
    // the margin, an old one could pass for a new one indefinitely. The time without a confirmation counts from the
    // arrival, because a confirmation may take longer than the limit to cross a large fleet.
    if (now - age > m_confirmed + confirmationMargin) {
        m_confirmed = now - age;
        m_confirmationReceived = now;
        m_timeoutJitter = jitter(minReadInterval());
    }
}

ConfigWatchPolicy::Duration ConfigWatchPolicy::confirmationAge(Clock::time_point now) const
{
    return std::chrono::duration_cast<Duration>(now - m_confirmed);
}

} // namespace turmericline
