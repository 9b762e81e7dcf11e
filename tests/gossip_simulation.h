#pragma once

#include "gossip.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/**
 * Simulation of 9 gateways in 3 failure domains that exchange crash reports, of failure domains that are cut off and
 * gateways that restart, and of a request that crashes each server that runs it.
 */
class GossipSimulation
{
public:
    static constexpr std::size_t gatewayCount = 9;
    static constexpr std::size_t domainCount = 3;
    static constexpr std::chrono::milliseconds step{50};
    /** A gateway that has been up and connected for this long must know what the others know. */
    static constexpr std::chrono::milliseconds contactTime{3'000};
    static constexpr std::size_t crashLimit = 3;
    /** Attempts that gateways in contact may still make later than contactTime after the third crash. */
    static constexpr std::size_t maxLateAttempts = 3;

    std::size_t crashes = 0; ///< Servers ended by the crashing request.
    std::size_t lateAttempts = 0;
    std::size_t refusals = 0;

    GossipSimulation(std::uint64_t seed, bool areReportsShared)
        : m_random(seed)
        , m_areReportsShared(areReportsShared)
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            start(i);
        }
        advance(contactTime);
    }

    /** A caller sends the crashing request through gateway @p i; the server that gets it ends. */
    void sendCrashing(std::size_t i)
    {
        auto &gateway = m_gateways[i % gatewayCount];
        if (gateway.suspects->decide(crashingRequest(), suspectTime(m_now)).action == SuspectAction::Refuse) {
            ++refusals;
            return;
        }
        if (m_thirdCrashAt && m_now > *m_thirdCrashAt + contactTime && isInContact(i % gatewayCount)) {
            ++lateAttempts;
        }
        endServer(gateway, true);
        if (++crashes == crashLimit) {
            m_thirdCrashAt = m_now;
        }
    }

    /** A server ends for another reason; gateway @p i had requests on it. */
    void crashServer(std::size_t i)
    {
        endServer(m_gateways[i % gatewayCount], false);
    }

    /** At most a third of the gateways is restarted within the contact time, so that the others can keep the reports. */
    void restart(std::size_t i)
    {
        const auto recent = std::count_if(m_gateways.begin(), m_gateways.end(), [this](const Gateway &it) {
            return m_now - it.startedAt < 2 * contactTime;
        });
        if (static_cast<std::size_t>(recent) < gatewayCount / domainCount && !m_cutDomain) {
            start(i % gatewayCount);
        }
    }

    void cut(std::size_t domain)
    {
        if (!m_cutDomain) {
            m_cutDomain = domain % domainCount;
        }
    }

    void heal()
    {
        if (m_cutDomain) {
            m_cutDomain.reset();
            m_healedAt = m_now;
        }
    }

    void advance(std::chrono::milliseconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += step;
            for (std::size_t i = 0; i < gatewayCount; ++i) {
                tick(i);
            }
        }
    }

private:
    struct Gateway
    {
        std::unique_ptr<SuspectTable> suspects;
        std::unique_ptr<PartSuspects> parts;
        std::unique_ptr<ServerLimits> limits;
        std::unique_ptr<Gossip> gossip;
        TimePoint startedAt{};
    };

    static Fingerprint crashingRequest()
    {
        return fingerprintOf("w", "POST /crash", "");
    }

    static std::string addressOf(std::size_t i)
    {
        return "10.0.0." + std::to_string(i + 1) + ":7000";
    }

    void start(std::size_t i)
    {
        auto &it = m_gateways[i];
        SuspectSettings settings;
        settings.maxSends = 32; // As gateways have it.
        it.suspects = std::make_unique<SuspectTable>(settings);
        it.parts = std::make_unique<PartSuspects>(PartSuspectSettings{}, i);
        it.limits = std::make_unique<ServerLimits>(i);
        it.gossip = std::make_unique<Gossip>(addressOf(i),
                                             "d" + std::to_string(i % domainCount),
                                             std::vector{addressOf(0), addressOf(3), addressOf(6)},
                                             *it.suspects,
                                             *it.parts,
                                             *it.limits,
                                             m_random);
        it.startedAt = m_now;
    }

    bool isConnected(std::size_t a, std::size_t b) const
    {
        return !m_cutDomain || (a % domainCount == *m_cutDomain) == (b % domainCount == *m_cutDomain);
    }

    bool isInContact(std::size_t i) const
    {
        return !m_cutDomain && m_now - m_healedAt > contactTime && m_now - m_gateways[i].startedAt > contactTime;
    }

    void endServer(Gateway &gateway, bool isByCrashingRequest)
    {
        constexpr std::size_t harmlessCount = 12;
        std::vector<Fingerprint> inFlight;
        inFlight.reserve(harmlessCount + 1);
        for (std::size_t n = 0; n < harmlessCount; ++n) {
            inFlight.push_back(fingerprintOf("w", "POST /harmless", std::to_string(++m_requestCount)));
        }
        if (isByCrashingRequest) {
            inFlight.push_back(crashingRequest());
        }
        ++m_serverCount;
        gateway.suspects->recordCrash(inFlight,
                                      "i-" + std::to_string(m_serverCount),
                                      m_serverCount,
                                      "d" + std::to_string(m_serverCount % domainCount),
                                      suspectTime(m_now));
        gateway.gossip->onNewReports();
    }

    void tick(std::size_t i)
    {
        for (const auto &it : m_gateways[i].gossip->tick(m_now)) {
            const auto to = indexOf(it.address);
            if (!m_areReportsShared || !isConnected(i, to)) {
                continue;
            }
            const auto message = decodeGossip(encodeGossip(it.message));
            const auto received = m_gateways[to].gossip->onCall(m_now, *message.value);
            m_gateways[i].gossip->onAnswer(m_now, *decodeGossip(encodeGossip(received.answer)).value);
        }
    }

    static std::size_t indexOf(const std::string &address)
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            if (addressOf(i) == address) {
                return i;
            }
        }
        throw std::invalid_argument(address);
    }

    std::mt19937_64 m_random;
    bool m_areReportsShared;
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::array<Gateway, gatewayCount> m_gateways;
    std::optional<std::size_t> m_cutDomain;
    TimePoint m_healedAt{};
    std::optional<TimePoint> m_thirdCrashAt;
    std::size_t m_requestCount = 0;
    std::size_t m_serverCount = 0;
};

} // namespace turmericline
