#pragma once

#include "time_type.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** A gateway and the time since any gateway last received a message from it. */
struct PeerAge
{
    std::string address; ///< "IP:PORT".
    std::chrono::milliseconds age{};
    std::string domain = {}; ///< Failure domain; empty if it is not known.

    bool operator==(const PeerAge &) const = default;
};

/**
 * The gateways that this one knows, and the choice of those to send to. Learned from the seeds of the settings and from
 * messages of other gateways; those that nobody has heard from for a while are forgotten, seeds excepted.
 */
class PeerList
{
public:
    PeerList(std::string ownAddress, std::vector<std::string> seeds);

    void setSeeds(std::vector<std::string> seeds);
    /** Records that @p peer was alive @p age ago. */
    void merge(TimePoint now, const PeerAge &peer);
    void expire(TimePoint now);

    /** Returns up to @p n random peers that were alive recently. */
    std::vector<std::string> chooseLive(TimePoint now, std::size_t n, std::mt19937_64 &random) const;
    /** Returns a random seed or peer that was not alive recently, or an empty string if there is none. */
    std::string chooseSilent(TimePoint now, std::mt19937_64 &random) const;
    /** Returns up to @p n random peers that were alive recently, with their ages, to be sent to another gateway. */
    std::vector<PeerAge> sample(TimePoint now, std::size_t n, std::mt19937_64 &random) const;
    std::size_t liveCount(TimePoint now) const;
    /** Number of peers that were alive @p maxAge ago or later. */
    std::size_t countAliveSince(TimePoint now, std::chrono::milliseconds maxAge) const;
    /** Peers in failure domain @p domain that were alive @p maxAge ago or later. */
    std::vector<std::string>
    peersInDomain(TimePoint now, std::string_view domain, std::chrono::milliseconds maxAge) const;
    /** Number of peers that are not forgotten yet, which includes those that a cut separates from this gateway. */
    std::size_t knownCount() const;
    bool hasOtherSeeds() const;

private:
    struct Peer
    {
        TimePoint aliveAt{};
        std::string domain;
    };

    bool isLive(TimePoint now, const std::string &address) const;

    std::string m_ownAddress;
    std::vector<std::string> m_seeds;
    std::map<std::string, Peer> m_known; ///< By address.
};

} // namespace turmericline
