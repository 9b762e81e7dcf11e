#include "feed_follower.h"

#include <xxhash.h>

#include <algorithm>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** In smaller domains, a reader saves too few calls to be worth the detour of the facts. */
constexpr std::size_t minGateways = 6;
/** Wait of a poll. With the timeout, a silent reader is noticed in less than a second. */
constexpr std::chrono::milliseconds pollWait{500};
constexpr std::chrono::milliseconds pollTimeout{400};
/** A reader watches the store for a second at a time, see GatewayFeeds; older facts mean that it has lost the store. */
constexpr std::chrono::milliseconds maxAge{1'700};
/** A reader that was left is not polled for this long. */
constexpr std::chrono::milliseconds avoidTime{5'000};
/** A gateway counts as followed for this long after a poll. */
constexpr std::chrono::milliseconds followedTime{3'000};

/** All gateways rank the addresses in the same order, which differs from the order of the addresses. */
std::uint64_t rankOf(const std::string &address)
{
    return XXH3_64bits(address.data(), address.size());
}

} // namespace

FeedFollower::FeedFollower(std::string ownAddress)
    : m_ownAddress(std::move(ownAddress))
{
}

std::string FeedFollower::chooseReader(TimePoint now, const std::vector<std::string> &peers)
{
    std::erase_if(m_avoidedUntil, [now](const auto &it) {
        return now >= it.second;
    });
    if (peers.size() + 1 < minGateways || isFollowed(now)) {
        return {};
    }
    std::string best = m_ownAddress;
    for (const auto &it : peers) {
        if (!m_avoidedUntil.contains(it) && rankOf(it) < rankOf(best)) {
            best = it;
        }
    }
    return best == m_ownAddress ? std::string() : best;
}

std::optional<FeedFollower::Poll> FeedFollower::tick(TimePoint now, const std::vector<std::string> &peers)
{
    if (m_isPolling) {
        return std::nullopt;
    }
    m_reader = chooseReader(now, peers);
    if (m_reader.empty()) {
        m_isFollowing = false;
        return std::nullopt;
    }
    if (now < m_nextPollAt) {
        return std::nullopt;
    }
    m_isPolling = true;
    const auto wait = m_isFollowing ? pollWait : 0ms;
    return Poll{m_reader, {m_cursor, wait}, wait + pollTimeout};
}

bool FeedFollower::onReport(TimePoint now, const FeedReport &report)
{
    m_isPolling = false;
    if (report.serversAge > maxAge || report.configAge > maxAge || isFollowed(now)) {
        leave(now);
        return false;
    }
    m_isFollowing = true;
    m_cursor = report.cursor;
    m_nextPollAt = now;
    return true;
}

void FeedFollower::onFailure(TimePoint now)
{
    m_isPolling = false;
    leave(now);
}

void FeedFollower::leave(TimePoint now)
{
    m_isFollowing = false;
    m_avoidedUntil[m_reader] = now + avoidTime;
}

void FeedFollower::onFollowed(TimePoint now)
{
    m_followedAt = now;
    m_isFollowing = false;
}

bool FeedFollower::isFollowed(TimePoint now) const
{
    return m_followedAt && now - *m_followedAt < followedTime;
}

BootTime confirmedAt(BootTime polledAt, std::chrono::milliseconds held, std::chrono::milliseconds age)
{
    return polledAt + held - age;
}

} // namespace turmericline
