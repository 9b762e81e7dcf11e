#pragma once

#include "event_budget.h"
#include "gossip_codec.h"
#include "part_suspect.h"
#include "server_limit.h"
#include "suspect.h"

#include <random>
#include <string>
#include <vector>

namespace turmericline {

/** A message to send to another gateway, which answers with a message. */
struct GossipCall
{
    std::string address; ///< "IP:PORT".
    GossipMessage message;
};

/**
 * Decides when this gateway sends crash reports and limits of servers to which other gateways. Once a second it sends a
 * message to a random live peer, and one to a seed or peer that was silent. News is sent at once to a few peers, which
 * do the same, so that it reaches all gateways in a few hops. If there is news all the time, it is sent less often, so
 * that the messages of a gateway stay bounded. The caller does all input and output.
 */
class Gossip
{
public:
    /** @p ownAddress: "IP:PORT" at which other gateways reach this one. */
    Gossip(std::string ownAddress,
           std::string ownDomain,
           std::vector<std::string> seeds,
           SuspectTable &suspects,
           PartSuspects &parts,
           ServerLimits &limits,
           std::mt19937_64 &random);

    void setSeeds(std::vector<std::string> seeds);
    /** Has the reports that were recorded since the last tick sent at the next one. */
    void onNewReports();
    /** Has the next calls ask for all reports, after a time in which this process may have missed some. */
    void onSuspended();

    std::vector<GossipCall> tick(TimePoint now);
    /** Result of a received message. */
    struct Received
    {
        std::vector<CrashReport> newReports; ///< Reports that this gateway did not know.
        std::vector<Fingerprint> newParts; ///< Parts of prompts on which the message had news.
        std::vector<PartCrash> newEnds; ///< Ends of servers in the news on parts, for which there was firm evidence.
        GossipMessage answer; ///< To a call; empty otherwise.
    };
    Received onCall(TimePoint now, const GossipMessage &message);
    /** Handles the answer to a call. */
    Received onAnswer(TimePoint now, const GossipMessage &message);
    std::size_t livePeerCount(TimePoint now) const;
    std::size_t knownPeerCount() const;
    FleetView fleetView(TimePoint now);
    /** Returns a random live peer, or an empty string if there is none. */
    std::string choosePeer(TimePoint now) const;
    /** See PeerList::peersInDomain(); for the own failure domain. */
    std::vector<std::string> nearPeers(TimePoint now, std::chrono::milliseconds maxAge) const;
    const std::string &ownAddress() const
    {
        return m_ownAddress;
    }

private:
    bool maySendNews(TimePoint now);
    Received merge(TimePoint now, const GossipMessage &message);
    GossipMessage makeMessage(TimePoint now, bool hasAllReports);

    std::string m_ownAddress;
    std::string m_ownDomain;
    SuspectTable &m_suspects;
    PartSuspects &m_parts;
    ServerLimits &m_limits;
    std::mt19937_64 &m_random;
    PeerList m_peers;
    TimePoint m_nextRoundAt{};
    TimePoint m_lastAnswerAt{};
    EventBudget m_newsBudget;
    EventBudget m_limitNewsBudget;
    TimePoint m_nextNewsAt{};
    std::size_t m_fleetSize; ///< Last known number of gateways, this one included.
    bool m_hasNewLimits = false;
    bool m_hasNewReports = false;
};

} // namespace turmericline
