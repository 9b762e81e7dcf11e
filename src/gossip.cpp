#include "gossip.h"

#include "suspect_codec.h"

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds roundPeriod{1'000};
/** Peers that get new reports at once; with four, five hops reach a thousand gateways. */
constexpr std::size_t newReportFanout = 4;
/** Without an answer for this long, a gateway asks for all reports instead of only those that were sent least. */
constexpr std::chrono::milliseconds contactTime{3'000};
constexpr std::size_t peersPerMessage = 16;
/** Limit of reports for a gateway that asks for all. */
constexpr std::size_t maxAllReports = 256;

} // namespace

Gossip::Gossip(std::string ownAddress,
               std::string ownDomain,
               std::vector<std::string> seeds,
               SuspectTable &suspects,
               std::mt19937_64 &random)
    : m_ownAddress(std::move(ownAddress))
    , m_ownDomain(std::move(ownDomain))
    , m_suspects(suspects)
    , m_random(random)
    , m_peers(m_ownAddress, std::move(seeds))
{
}

void Gossip::setSeeds(std::vector<std::string> seeds)
{
    m_peers.setSeeds(std::move(seeds));
}

void Gossip::onNewReports()
{
    m_hasNewReports = true;
}

void Gossip::onSuspended()
{
    m_lastAnswerAt = {};
}

std::vector<GossipCall> Gossip::tick(TimePoint now)
{
    std::vector<std::string> addresses;
    if (std::exchange(m_hasNewReports, false)) {
        addresses = m_peers.chooseLive(now, newReportFanout, m_random);
    }
    if (now >= m_nextRoundAt) {
        m_nextRoundAt = now + roundPeriod;
        m_peers.expire(now);
        if (addresses.empty()) {
            addresses = m_peers.chooseLive(now, 1, m_random);
        }
        if (auto silent = m_peers.chooseSilent(now, m_random); !silent.empty()) {
            addresses.push_back(std::move(silent));
        }
    }
    std::vector<GossipCall> calls;
    if (addresses.empty()) {
        return calls;
    }
    auto message = makeMessage(now, reportsForMessage(m_suspects, suspectTime(now)));
    message.wantsAllReports = now - m_lastAnswerAt > contactTime;
    for (auto &it : addresses) {
        calls.push_back({std::move(it), message});
    }
    return calls;
}

Gossip::Received Gossip::onCall(TimePoint now, const GossipMessage &message)
{
    auto newReports = merge(now, message);
    auto reports = message.wantsAllReports ? m_suspects.recentReports(maxAllReports, suspectTime(now))
                                           : reportsForMessage(m_suspects, suspectTime(now));
    return {std::move(newReports), makeMessage(now, std::move(reports))};
}

std::vector<CrashReport> Gossip::onAnswer(TimePoint now, const GossipMessage &message)
{
    m_lastAnswerAt = now;
    return merge(now, message);
}

std::vector<CrashReport> Gossip::merge(TimePoint now, const GossipMessage &message)
{
    m_peers.merge(now, {message.sender, std::chrono::milliseconds::zero(), message.senderDomain});
    for (const auto &it : message.peers) {
        m_peers.merge(now, it);
    }
    std::vector<CrashReport> newReports;
    for (const auto &it : message.reports) {
        if (m_suspects.merge(it, suspectTime(now))) {
            newReports.push_back(it);
        }
    }
    m_hasNewReports |= !newReports.empty();
    return newReports;
}

GossipMessage Gossip::makeMessage(TimePoint now, std::vector<CrashReport> reports) const
{
    return {m_ownAddress, m_ownDomain, false, m_peers.sample(now, peersPerMessage, m_random), std::move(reports)};
}

std::size_t Gossip::livePeerCount(TimePoint now) const
{
    return m_peers.liveCount(now);
}

std::vector<std::string> Gossip::nearPeers(TimePoint now, std::chrono::milliseconds maxAge) const
{
    return m_peers.peersInDomain(now, m_ownDomain, maxAge);
}

std::size_t Gossip::knownPeerCount() const
{
    return m_peers.knownCount();
}

} // namespace turmericline
