#pragma once

#include "gossip.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace turmericline {

/** What callers send to PartSuspectSimulation, and which knowledge its gateways use. */
struct PartScenario
{
    std::size_t soundPerStep = 2; ///< Sound requests that callers send all the time, through random gateways.
    bool areReportsShared = true;
    bool areAnswersRecorded = true;
};

/**
 * Simulation of gateways in 3 failure domains in front of a group of servers that advance in lock-step. One part of
 * prompts crashes each server that begins an answer to a request with it; sound requests share all other parts with
 * these. Domains are cut off, gateways restart, and servers end for other reasons.
 */
class PartSuspectSimulation
{
public:
    static constexpr std::size_t domainCount = 3;
    static constexpr std::size_t serverCount = 12;
    static constexpr std::chrono::milliseconds step{50};
    /** A gateway that has been up and connected for this long must know what the others know. */
    static constexpr std::chrono::milliseconds contactTime{3'000};
    static constexpr std::size_t crashLimit = 5;
    /** Attempts that gateways in contact may still make later than contactTime after the fifth crash. */
    static constexpr std::size_t maxLateAttempts = 3;

    std::size_t crashes = 0; ///< Servers ended by the crashing part.
    std::size_t lateAttempts = 0;
    std::size_t crashingRefusals = 0;
    std::size_t soundRequests = 0;
    std::size_t soundRefusals = 0; ///< Of sound requests, for their parts.
    std::size_t messageBytes = 0;

    PartSuspectSimulation(std::uint64_t seed, std::size_t gateways, PartScenario scenario = {})
        : m_random(seed)
        , m_scenario(scenario)
        , m_gateways(gateways)
    {
        for (std::size_t i = 0; i < gateways; ++i) {
            start(i);
        }
        advance(contactTime);
    }

    /** A caller sends a request with the crashing part through gateway @p i. */
    void sendCrashing(std::size_t i)
    {
        send(i % m_gateways.size(), {firstPart(m_random()), workspacePart(m_random()), crashingPart()}, true);
    }

    /** Callers send a sound request through each of @p n gateways, from gateway @p i on. */
    void sendSound(std::size_t i, std::size_t n)
    {
        for (std::size_t k = 0; k < n; ++k) {
            send((i + k) % m_gateways.size(),
                 {firstPart(m_random()), workspacePart(m_random()), sessionPart(m_random())},
                 false);
        }
    }

    /** A server ends for another reason. */
    void crashServer(std::size_t i)
    {
        endServer(i % serverCount);
    }

    /** At most a third of the gateways is restarted within the contact time, so that the others can keep the reports. */
    void restart(std::size_t i)
    {
        const auto recent = std::count_if(m_gateways.begin(), m_gateways.end(), [this](const Gateway &it) {
            return m_now - it.startedAt < 2 * contactTime;
        });
        const bool canSpare = static_cast<std::size_t>(recent) < m_gateways.size() / domainCount;
        // A gateway that restarts before its report has left takes it along.
        if (canSpare && !m_cutDomain && m_now - m_lastEndAt > step * 4) {
            start(i % m_gateways.size());
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
            sendSound(m_random(), m_scenario.soundPerStep);
            runRequests();
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                m_gateways[i].parts->expire(suspectTime(m_now));
                tick(i);
            }
        }
    }

    /** Most parts that a gateway remembers. */
    std::size_t mostParts() const
    {
        std::size_t most = 0;
        for (const auto &it : m_gateways) {
            most = std::max(most, it.parts->size());
        }
        return most;
    }

private:
    static constexpr std::chrono::milliseconds prefillTime{150};
    static constexpr std::chrono::milliseconds soundTime{300};
    static constexpr std::chrono::milliseconds answerTime{1'200};
    static constexpr std::chrono::milliseconds reformTime{3'500};

    struct Gateway
    {
        std::unique_ptr<SuspectTable> suspects;
        std::unique_ptr<PartSuspects> parts;
        std::unique_ptr<ServerLimits> limits;
        std::unique_ptr<Gossip> gossip;
        TimePoint startedAt{};
    };

    struct Request
    {
        std::size_t gateway = 0;
        TimePoint gatewayStartedAt{};
        std::size_t server = 0;
        std::vector<Fingerprint> parts;
        TimePoint sentAt{};
        bool isCrashing = false;
        bool isSound = false;
    };

    static Fingerprint crashingPart()
    {
        return partFingerprint("s", 0xbad);
    }

    static Fingerprint firstPart(std::uint64_t n)
    {
        return partFingerprint("s", 1 + n % 3);
    }

    static Fingerprint workspacePart(std::uint64_t n)
    {
        return partFingerprint("s", 100 + n % 10);
    }

    static Fingerprint sessionPart(std::uint64_t n)
    {
        return partFingerprint("s", 1'000 + n % 60);
    }

    static std::string addressOf(std::size_t i)
    {
        return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000";
    }

    void start(std::size_t i)
    {
        auto &it = m_gateways[i];
        SuspectSettings settings;
        settings.maxSends = 32; // As gateways have it.
        it.suspects = std::make_unique<SuspectTable>(settings);
        it.parts = std::make_unique<PartSuspects>(PartSuspectSettings{}, m_random());
        it.limits = std::make_unique<ServerLimits>(i);
        it.gossip = std::make_unique<Gossip>(addressOf(i),
                                             "d" + std::to_string(i % domainCount),
                                             std::vector{addressOf(0), addressOf(1), addressOf(2)},
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

    void send(std::size_t i, std::vector<Fingerprint> parts, bool isCrashing)
    {
        if (m_now < m_reformedAt) {
            return; // Refused for lack of servers.
        }
        const auto decision = m_gateways[i].parts->admit(parts, suspectTime(m_now));
        soundRequests += isCrashing ? 0 : 1;
        if (decision.action == SuspectAction::Refuse) {
            (isCrashing ? crashingRefusals : soundRefusals) += 1;
            return;
        }
        if (isCrashing && m_fifthCrashAt && m_now > *m_fifthCrashAt + contactTime && isInContact(i)) {
            ++lateAttempts;
        }
        m_gateways[i].parts->recordSent(parts);
        m_requests.push_back(
            {i, m_gateways[i].startedAt, m_random() % serverCount, std::move(parts), m_now, isCrashing, false});
    }

    void runRequests()
    {
        for (std::size_t n = 0; n < m_requests.size(); ++n) {
            auto &it = m_requests[n];
            const auto age = m_now - it.sentAt;
            if (it.isCrashing && age >= prefillTime) {
                endServer(it.server);
                return; // All requests have failed.
            }
            if (!it.isSound && age >= soundTime) {
                it.isSound = true;
                if (m_scenario.areAnswersRecorded && isRunning(it)) {
                    m_gateways[it.gateway].parts->recordSound(it.parts, suspectTime(m_now));
                }
            }
        }
        std::erase_if(m_requests, [this](const Request &it) {
            return m_now - it.sentAt >= answerTime;
        });
    }

    bool isRunning(const Request &request) const
    {
        return m_gateways[request.gateway].startedAt == request.gatewayStartedAt;
    }

    /** The gateways that have unanswered requests on the server notice its end. The group stalls. */
    void endServer(std::size_t server)
    {
        const auto name = "i-" + std::to_string(++m_serverCount);
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            const auto now = suspectTime(m_now);
            const auto requests = requestsInFlight(i, server);
            m_gateways[i].parts->recordCrash(partsInFlight(i, server), name, m_serverCount, now);
            m_gateways[i].suspects->recordCrash(requests, name, m_serverCount, "d", now);
            if (!requests.empty()) {
                m_gateways[i].gossip->onNewReports();
            }
        }
        const auto crashing = std::count_if(m_requests.begin(), m_requests.end(), [&](const Request &it) {
            return it.isCrashing && it.server == server && m_now - it.sentAt >= prefillTime;
        });
        if (crashing > 0 && ++crashes == crashLimit) {
            m_fifthCrashAt = m_now;
        }
        // Other servers with such requests in the same step of the group end with it.
        std::vector<std::size_t> others;
        for (const auto &it : m_requests) {
            if (it.isCrashing && it.server != server && m_now - it.sentAt >= prefillTime) {
                others.push_back(it.server);
            }
        }
        std::erase_if(m_requests, [&](const Request &it) {
            return it.server == server;
        });
        if (!others.empty()) {
            endServer(others.front());
        }
        m_requests.clear();
        m_reformedAt = m_now + reformTime;
        m_lastEndAt = m_now;
    }

    /** Fingerprints of the whole requests, no two of which are alike. */
    std::vector<Fingerprint> requestsInFlight(std::size_t gateway, std::size_t server)
    {
        std::vector<Fingerprint> found;
        for (const auto &it : m_requests) {
            if (it.gateway == gateway && it.server == server && isRunning(it)) {
                found.push_back({m_random(), m_random()});
            }
        }
        return found;
    }

    std::vector<PartInFlight> partsInFlight(std::size_t gateway, std::size_t server) const
    {
        std::vector<PartInFlight> found;
        for (const auto &request : m_requests) {
            if (request.gateway != gateway || request.server != server || request.isSound || !isRunning(request)) {
                continue;
            }
            for (std::uint32_t n = 0; n < request.parts.size(); ++n) {
                const bool isKnown = std::any_of(found.begin(), found.end(), [&](const PartInFlight &it) {
                    return it.part == request.parts[n];
                });
                if (!isKnown) {
                    found.push_back({request.parts[n], n, suspectTime(m_now) - suspectTime(request.sentAt)});
                }
            }
        }
        return found;
    }

    void tick(std::size_t i)
    {
        for (const auto &it : m_gateways[i].gossip->tick(m_now)) {
            const auto to = indexOf(it.address);
            if (!m_scenario.areReportsShared || !isConnected(i, to)) {
                continue;
            }
            const auto bytes = encodeGossip(it.message);
            const auto received = m_gateways[to].gossip->onCall(m_now, *decodeGossip(bytes).value);
            const auto answer = encodeGossip(received.answer);
            messageBytes += bytes.size() + answer.size();
            m_gateways[i].gossip->onAnswer(m_now, *decodeGossip(answer).value);
        }
    }

    static std::size_t indexOf(const std::string &address)
    {
        constexpr std::size_t perNet = 250;
        const auto net = std::stoul(address.substr(5));
        const auto host = std::stoul(address.substr(address.find('.', 5) + 1));
        return net * perNet + host - 1;
    }

    std::mt19937_64 m_random;
    PartScenario m_scenario;
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::vector<Gateway> m_gateways;
    std::vector<Request> m_requests; ///< At the servers.
    std::optional<std::size_t> m_cutDomain;
    TimePoint m_healedAt{};
    TimePoint m_reformedAt{};
    TimePoint m_lastEndAt{};
    std::optional<TimePoint> m_fifthCrashAt;
    std::uint64_t m_serverCount = 0;
};

} // namespace turmericline
