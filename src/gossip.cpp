#include "gossip.h"

#include "part_suspect_codec.h"
#include "server_limit_codec.h"
#include "suspect_codec.h"

#include <algorithm>

namespace turmericline {

namespace {

constexpr std::chrono::milliseconds roundPeriod{1'000};
/** Peers that get new reports at once; with four, five hops reach a thousand gateways. */
constexpr std::size_t newReportFanout = 4;
/** Without an answer for this long, a gateway asks for all reports instead of only those that were sent least. */
constexpr std::chrono::milliseconds contactTime{3'000};
constexpr std::size_t peersPerMessage = 16;
/** Limits of reports for a gateway that asks for all. */
constexpr std::size_t maxAllReports = 256;
constexpr std::size_t maxAllParts = 64;
constexpr std::size_t maxAllLimits = 256;
/** Reports that arrive within this time are passed on together. */
constexpr std::chrono::milliseconds minNewsPeriod{100};
/** Rounds of new reports, each with a message to newReportFanout peers. */
constexpr double newsRoundsPerSecond = 0.1;
constexpr double newsRoundsInBurst = 6;
/** Limits of servers change more often than servers crash, and have to be known within a second. */
constexpr double limitRoundsPerSecond = 0.5;
/** Assumed number of gateways while this one has not reached any of the others. */
constexpr std::size_t unknownFleetSize = 100;
/** A peer counts as alive for this time, or longer in a large fleet, where it takes longer to hear of all. */
constexpr std::chrono::milliseconds minAliveTime{5'000};
constexpr std::chrono::milliseconds aliveTimePerPeer{35};

} // namespace

Gossip::Gossip(std::string ownAddress,
               std::string ownDomain,
               std::vector<std::string> seeds,
               SuspectTable &suspects,
               PartSuspects &parts,
               ServerLimits &limits,
               std::mt19937_64 &random)
    : m_ownAddress(std::move(ownAddress))
    , m_ownDomain(std::move(ownDomain))
    , m_suspects(suspects)
    , m_parts(parts)
    , m_limits(limits)
    , m_random(random)
    , m_peers(m_ownAddress, std::move(seeds))
    , m_newsBudget(newsRoundsPerSecond, newsRoundsInBurst)
    , m_limitNewsBudget(limitRoundsPerSecond, newsRoundsInBurst)
    , m_fleetSize(m_peers.hasOtherSeeds() ? unknownFleetSize : 1)
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

bool Gossip::maySendNews(TimePoint now)
{
    return (m_hasNewReports && m_newsBudget.take(now)) || (m_hasNewLimits && m_limitNewsBudget.take(now));
}

std::vector<GossipCall> Gossip::tick(TimePoint now)
{
    std::vector<std::string> addresses;
    m_hasNewReports |= m_parts.takeNews();
    m_hasNewLimits |= m_limits.takeNews();
    if (now >= m_nextNewsAt && maySendNews(now)) {
        m_hasNewReports = false;
        m_hasNewLimits = false;
        m_nextNewsAt = now + minNewsPeriod;
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
    auto message = makeMessage(now, false);
    message.wantsAllReports = now - m_lastAnswerAt > contactTime;
    for (auto &it : addresses) {
        calls.push_back({std::move(it), message});
    }
    return calls;
}

Gossip::Received Gossip::onCall(TimePoint now, const GossipMessage &message)
{
    auto received = merge(now, message);
    received.answer = makeMessage(now, message.wantsAllReports);
    return received;
}

Gossip::Received Gossip::onAnswer(TimePoint now, const GossipMessage &message)
{
    m_lastAnswerAt = now;
    return merge(now, message);
}

Gossip::Received Gossip::merge(TimePoint now, const GossipMessage &message)
{
    m_peers.merge(now, {message.sender, std::chrono::milliseconds::zero(), message.senderDomain});
    for (const auto &it : message.peers) {
        m_peers.merge(now, it);
    }
    Received received;
    for (const auto &it : message.reports) {
        if (m_suspects.merge(it, suspectTime(now))) {
            received.newReports.push_back(it);
        }
    }
    for (const auto &it : message.parts) {
        if (m_parts.merge(it, suspectTime(now))) {
            received.newParts.push_back(it.part);
            received.newEnds.insert(received.newEnds.end(), it.crashes.begin(), it.crashes.end());
        }
    }
    m_hasNewReports |= !received.newReports.empty();
    for (const auto &it : message.limits) {
        m_limits.merge(now, it);
    }
    return received;
}

GossipMessage Gossip::makeMessage(TimePoint now, bool hasAllReports)
{
    const auto time = suspectTime(now);
    GossipMessage message{m_ownAddress, m_ownDomain, false, m_peers.sample(now, peersPerMessage, m_random), {}, {}, {}};
    message.reports
        = hasAllReports ? m_suspects.recentReports(maxAllReports, time) : reportsForMessage(m_suspects, time);
    message.parts = hasAllReports ? m_parts.allReports(maxAllParts, time) : partReportsForMessage(m_parts, time);
    message.limits = hasAllReports ? m_limits.allReports(now, maxAllLimits) : limitReportsForMessage(m_limits, now);
    return message;
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

/** While no other gateway answers, the fleet is taken to be as large as before, though its peers are forgotten. */
FleetView Gossip::fleetView(TimePoint now)
{
    const auto known = m_peers.knownCount();
    const bool isOnly = known == 0 && !m_peers.hasOtherSeeds();
    FleetView view;
    view.isInContact = isOnly || now - m_lastAnswerAt <= contactTime;
    if (view.isInContact) {
        m_fleetSize = known + 1;
    }
    view.gateways = std::max(m_fleetSize, known + 1);
    const auto aliveTime = std::max(minAliveTime, aliveTimePerPeer * static_cast<int>(known));
    view.isWithMajority = 2 * (m_peers.countAliveSince(now, aliveTime) + 1) > view.gateways;
    return view;
}

std::string Gossip::choosePeer(TimePoint now) const
{
    const auto chosen = m_peers.chooseLive(now, 1, m_random);
    return chosen.empty() ? std::string() : chosen.front();
}

} // namespace turmericline
