#include "peer_list.h"

#include <algorithm>
#include <iterator>

namespace turmericline {

namespace {

/** A gateway sends at least one message a second, which others pass on. */
constexpr std::chrono::seconds liveTime{5};
/** Long enough for a gateway that was cut off to find the others again. */
constexpr std::chrono::seconds forgetTime{120};
constexpr std::size_t maxPeers = 4'096;

std::vector<std::string> sampleOf(const std::vector<std::string> &all, std::size_t n, std::mt19937_64 &random)
{
    std::vector<std::string> chosen;
    std::sample(all.begin(), all.end(), std::back_inserter(chosen), n, random);
    return chosen;
}

} // namespace

PeerList::PeerList(std::string ownAddress, std::vector<std::string> seeds)
    : m_ownAddress(std::move(ownAddress))
    , m_seeds(std::move(seeds))
{
}

void PeerList::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
}

void PeerList::merge(TimePoint now, const PeerAge &peer)
{
    const auto known = m_known.find(peer.address);
    const bool isFull = m_known.size() >= maxPeers && known == m_known.end();
    if (peer.address == m_ownAddress || peer.age >= forgetTime || isFull) {
        return;
    }
    // Transit makes a message appear later than it was, so of two estimates the later one is the more recent sign.
    auto &entry = m_known[peer.address];
    entry.aliveAt = std::max(entry.aliveAt, now - peer.age);
    if (!peer.domain.empty()) {
        entry.domain = peer.domain;
    }
}

void PeerList::expire(TimePoint now)
{
    std::erase_if(m_known, [now](const auto &it) {
        return now - it.second.aliveAt >= forgetTime;
    });
}

bool PeerList::isLive(TimePoint now, const std::string &address) const
{
    const auto it = m_known.find(address);
    return it != m_known.end() && now - it->second.aliveAt < liveTime;
}

std::vector<std::string> PeerList::chooseLive(TimePoint now, std::size_t n, std::mt19937_64 &random) const
{
    std::vector<std::string> live;
    for (const auto &[address, peer] : m_known) {
        if (isLive(now, address)) {
            live.push_back(address);
        }
    }
    return sampleOf(live, n, random);
}

std::string PeerList::chooseSilent(TimePoint now, std::mt19937_64 &random) const
{
    std::vector<std::string> silent;
    for (const auto &[address, peer] : m_known) {
        if (!isLive(now, address)) {
            silent.push_back(address);
        }
    }
    for (const auto &it : m_seeds) {
        if (it != m_ownAddress && !m_known.contains(it)) {
            silent.push_back(it);
        }
    }
    const auto chosen = sampleOf(silent, 1, random);
    return chosen.empty() ? std::string() : chosen.front();
}

std::vector<PeerAge> PeerList::sample(TimePoint now, std::size_t n, std::mt19937_64 &random) const
{
    std::vector<PeerAge> peers;
    for (auto &it : chooseLive(now, n, random)) {
        const auto &peer = m_known.at(it);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.aliveAt);
        peers.push_back({std::move(it), age, peer.domain});
    }
    return peers;
}

std::vector<std::string>
PeerList::peersInDomain(TimePoint now, std::string_view domain, std::chrono::milliseconds maxAge) const
{
    std::vector<std::string> peers;
    for (const auto &[address, peer] : m_known) {
        if (peer.domain == domain && now - peer.aliveAt <= maxAge) {
            peers.push_back(address);
        }
    }
    return peers;
}

std::size_t PeerList::knownCount() const
{
    return m_known.size();
}

std::size_t PeerList::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto &it) {
        return isLive(now, it.first);
    }));
}

std::size_t PeerList::countAliveSince(TimePoint now, std::chrono::milliseconds maxAge) const
{
    return static_cast<std::size_t>(std::count_if(m_known.begin(), m_known.end(), [&](const auto &it) {
        return now - it.second.aliveAt <= maxAge;
    }));
}

bool PeerList::hasOtherSeeds() const
{
    return std::any_of(m_seeds.begin(), m_seeds.end(), [this](const auto &it) {
        return it != m_ownAddress;
    });
}

} // namespace turmericline
