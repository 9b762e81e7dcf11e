#pragma once

#include "crash_detector.h"
#include "gossip.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericline {

/** Which knowledge the gateways of a LeavingCallerSimulation use, and what happens to them. */
struct LeavingCallerScenario
{
    std::size_t gateways = 9;
    bool areAbandonedRecorded = true;
    bool areSurvivedRecorded = true;
    bool areReportsShared = true;
    bool hasCrashingRequest = true;
    std::chrono::milliseconds killPeriod{15'000}; ///< From one server that ends for another reason to the next.
    double lossShare = 0.1; ///< Of the messages between gateways.
};

/**
 * Simulation of gateways in front of a plain service. Copies of one request, which crashes each server that runs it, come
 * through all gateways, and their callers leave before the server ends. Callers of some sound requests always leave as
 * well, so no answer can clear these. Servers end for other reasons, messages are lost, and gateways restart.
 */
class LeavingCallerSimulation
{
public:
    static constexpr std::chrono::milliseconds step{20};
    static constexpr std::chrono::milliseconds contactTime{3'000};
    static constexpr std::size_t crashLimit = 3;
    /** Copies that may still reach servers later than contactTime after the third crash. */
    static constexpr std::size_t maxLateArrivals = 3;

    std::size_t crashes = 0; ///< Servers ended by the crashing request.
    std::size_t lateArrivals = 0;
    std::size_t soundRequests = 0; ///< Those whose callers leave.
    std::size_t soundRefusals = 0;

    LeavingCallerSimulation(std::uint64_t seed, LeavingCallerScenario scenario)
        : m_random(seed)
        , m_scenario(scenario)
        , m_gateways(scenario.gateways)
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            start(i);
        }
    }

    void advance(std::chrono::milliseconds time)
    {
        for (const auto end = m_now + time; m_now < end;) {
            m_now += step;
            restartServers();
            sendRequests();
            runRequests();
            disturb();
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                tick(i);
            }
        }
    }

private:
    static constexpr std::size_t serverCount = 6;
    static constexpr std::size_t pollCount = 4; ///< Different sound requests whose callers leave.
    static constexpr std::chrono::milliseconds copyPeriod{1'000};
    static constexpr std::chrono::milliseconds pollPeriod{200};
    static constexpr std::chrono::milliseconds usualPeriod{40};
    static constexpr std::chrono::milliseconds deadline{1'000};
    static constexpr std::chrono::milliseconds workTime{60};
    static constexpr std::chrono::milliseconds downTime{2'500};
    static constexpr std::chrono::milliseconds announcementDelay{60};

    struct Server
    {
        std::int64_t startTimeMs = 1;
        bool isUp = true;
        TimePoint upAt{};
        TimePoint announcedAt{};
    };

    struct Gateway
    {
        std::unique_ptr<SuspectTable> suspects;
        std::unique_ptr<PartSuspects> parts;
        std::unique_ptr<ServerLimits> limits;
        std::unique_ptr<Gossip> gossip;
        std::unique_ptr<BackendTable> servers;
        std::unique_ptr<CrashDetector> detector;
        TimePoint startedAt{};
    };

    struct Request
    {
        std::size_t gateway = 0;
        TimePoint gatewayStartedAt{};
        std::size_t server = 0;
        Fingerprint fingerprint;
        TimePoint sentAt{};
        TimePoint leavesAt{};
        std::chrono::milliseconds runTime{}; ///< After this, the server answers or crashes.
        bool isCrashing = false;
        bool hasLeft = false;
    };

    static Fingerprint crashing()
    {
        return {1, 1};
    }

    static std::string addressOf(std::size_t i)
    {
        return "10.0.0." + std::to_string(i + 1) + ":7000";
    }

    static std::string idOf(std::size_t server)
    {
        return "i-" + std::to_string(server);
    }

    ServerIncarnation incarnation(std::size_t server) const
    {
        return {idOf(server), m_servers[server].startTimeMs, "d" + std::to_string(server % 3)};
    }

    std::chrono::milliseconds between(std::chrono::milliseconds a, std::chrono::milliseconds b)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(a.count(), b.count())(m_random));
    }

    bool chance(double share)
    {
        return std::bernoulli_distribution(share)(m_random);
    }

    bool isDue(std::chrono::milliseconds period) const
    {
        return m_now.time_since_epoch() % period < step;
    }

    void start(std::size_t i)
    {
        auto &it = m_gateways[i];
        SuspectSettings settings; // As gateways have it.
        settings.domainLimit = settings.totalLimit;
        settings.maxSends = 32;
        settings.commonCauseTime = std::chrono::seconds(1);
        settings.survivedSeed = m_random();
        it.suspects = std::make_unique<SuspectTable>(settings);
        it.parts = std::make_unique<PartSuspects>(PartSuspectSettings{}, m_random());
        it.limits = std::make_unique<ServerLimits>(i);
        it.gossip = std::make_unique<Gossip>(addressOf(i),
                                             "d" + std::to_string(i % 3),
                                             std::vector{addressOf(0), addressOf(1), addressOf(2)},
                                             *it.suspects,
                                             *it.parts,
                                             *it.limits,
                                             m_random);
        it.servers = std::make_unique<BackendTable>("d0");
        it.detector = std::make_unique<CrashDetector>();
        it.startedAt = m_now;
        for (std::size_t server = 0; server < serverCount; ++server) {
            announce(it, server);
        }
    }

    void announce(Gateway &gateway, std::size_t server)
    {
        BackendRecord record;
        record.id = idOf(server);
        record.service = "s";
        record.address = "10.1.0.1:80";
        record.domain = incarnation(server).domain;
        record.startTimeMs = m_servers[server].startTimeMs;
        gateway.servers->upsert(record);
    }

    bool isInContact(const Gateway &gateway) const
    {
        return m_now - gateway.startedAt > contactTime;
    }

    void sendRequests()
    {
        if (m_scenario.hasCrashingRequest && isDue(copyPeriod)) {
            // Early or late, but before the answer is due.
            constexpr std::array<std::chrono::milliseconds, 4> leaving{
                std::chrono::milliseconds(10), std::chrono::milliseconds(50), std::chrono::milliseconds(200), deadline};
            const auto leavesAfter = leaving[m_random() % leaving.size()];
            send(crashing(), leavesAfter, leavesAfter + between(std::chrono::milliseconds(20), deadline / 4), true);
        }
        if (isDue(pollPeriod)) {
            for (std::size_t n = 0; n < pollCount; ++n) {
                send({2, n}, workTime / 2, workTime, false);
            }
        }
        if (isDue(usualPeriod)) {
            send({3, ++m_usualCount}, deadline, workTime, false);
        }
    }

    void send(const Fingerprint &fingerprint,
              std::chrono::milliseconds leavesAfter,
              std::chrono::milliseconds runTime,
              bool isCrashing)
    {
        const auto i = m_random() % m_gateways.size();
        auto &gateway = m_gateways[i];
        const bool isPoll = !isCrashing && leavesAfter < runTime;
        soundRequests += isPoll ? 1 : 0;
        if (gateway.suspects->decide(fingerprint, suspectTime(m_now)).action == SuspectAction::Refuse) {
            soundRefusals += isPoll ? 1 : 0;
            return;
        }
        const auto server = m_random() % serverCount;
        if (!m_servers[server].isUp) {
            gateway.detector->onUnreachable(incarnation(server));
            return;
        }
        if (isCrashing && m_thirdCrashAt && m_now > *m_thirdCrashAt + contactTime && isInContact(gateway)) {
            ++lateArrivals;
        }
        m_requests.push_back({i,
                              gateway.startedAt,
                              server,
                              fingerprint,
                              m_now,
                              m_now + leavesAfter,
                              std::min(runTime, deadline),
                              isCrashing,
                              false});
    }

    bool isKnown(const Request &request) const
    {
        return m_gateways[request.gateway].startedAt == request.gatewayStartedAt;
    }

    void runRequests()
    {
        std::optional<std::size_t> ended;
        for (auto &it : m_requests) {
            if (!it.hasLeft && m_now >= it.leavesAt) {
                it.hasLeft = true;
                if (isKnown(it) && m_scenario.areAbandonedRecorded) {
                    m_gateways[it.gateway].detector->onAbandoned(
                        incarnation(it.server),
                        "10.1.0.1:80",
                        {it.fingerprint, {}, it.sentAt, it.sentAt + deadline + std::chrono::milliseconds(500)});
                }
            }
            const bool isOver = m_now >= it.sentAt + it.runTime;
            if (isOver && it.isCrashing && !ended) {
                ended = it.server;
                crashes += 1;
                m_thirdCrashAt = crashes == crashLimit ? m_now : m_thirdCrashAt;
            } else if (isOver && !it.isCrashing && !it.hasLeft && isKnown(it)) {
                m_gateways[it.gateway].detector->onAnswered(m_now, incarnation(it.server));
                m_gateways[it.gateway].suspects->complete(it.fingerprint);
            }
        }
        std::erase_if(m_requests, [this](const Request &it) {
            return !it.isCrashing && m_now >= it.sentAt + it.runTime;
        });
        if (ended) {
            endServer(*ended);
        }
    }

    /** Requests that are waited for fail; what the server went on with has no caller any longer. */
    void endServer(std::size_t server)
    {
        for (const auto &it : m_requests) {
            if (it.server == server && !it.hasLeft && isKnown(it)) {
                m_gateways[it.gateway].detector->onUnanswered(
                    m_now, incarnation(server), it.fingerprint, {}, it.sentAt, it.sentAt + deadline);
            }
        }
        std::erase_if(m_requests, [server](const Request &it) {
            return it.server == server;
        });
        m_servers[server].isUp = false;
        m_servers[server].upAt = m_now + downTime;
    }

    void restartServers()
    {
        for (std::size_t server = 0; server < serverCount; ++server) {
            auto &it = m_servers[server];
            if (!it.isUp && m_now >= it.upAt) {
                it.isUp = true;
                it.startTimeMs += 1'000;
                it.announcedAt = m_now + announcementDelay;
            }
            if (it.announcedAt != TimePoint{} && m_now >= it.announcedAt) {
                it.announcedAt = {};
                for (auto &gateway : m_gateways) {
                    announce(gateway, server);
                }
            }
        }
    }

    void disturb()
    {
        const auto server = m_random() % serverCount;
        if (isDue(m_scenario.killPeriod) && m_servers[server].isUp) {
            endServer(server);
        }
        // The others keep the reports.
        if (isDue(std::chrono::milliseconds(7'000)) && chance(0.5)) {
            start(m_random() % m_gateways.size());
        }
    }

    void tick(std::size_t i)
    {
        auto &gateway = m_gateways[i];
        for (const auto &it : gateway.detector->takeServersToProbe(m_now)) {
            const auto server = std::stoul(it.id.substr(2));
            const auto result = m_servers[server].isUp ? ProbeResult::Listening : ProbeResult::Refused;
            if (const auto end = gateway.detector->onProbed(m_now, it, result)) {
                recordEnd(gateway, *end);
            }
        }
        for (const auto &it : gateway.detector->checkAnnouncements(m_now, *gateway.servers)) {
            recordEnd(gateway, it);
        }
        for (const auto &it : gateway.detector->takeSurvived()) {
            if (m_scenario.areSurvivedRecorded && gateway.suspects->recordSurvived(it.fingerprint)) {
                gateway.gossip->onNewReports();
            }
        }
        for (const auto &it : gateway.gossip->tick(m_now)) {
            exchange(gateway, it);
        }
    }

    void recordEnd(Gateway &gateway, const ServerEnd &end)
    {
        gateway.suspects->recordCrash(end.requests,
                                      end.server.id,
                                      static_cast<std::uint64_t>(end.server.startTimeMs),
                                      end.server.domain,
                                      suspectTime(m_now));
        gateway.gossip->onNewReports();
    }

    void exchange(Gateway &gateway, const GossipCall &call)
    {
        if (!m_scenario.areReportsShared || chance(m_scenario.lossShare)) {
            return;
        }
        const auto to = std::stoul(call.address.substr(7)) - 1;
        const auto received = m_gateways[to].gossip->onCall(m_now, *decodeGossip(encodeGossip(call.message)).value);
        if (!chance(m_scenario.lossShare)) {
            gateway.gossip->onAnswer(m_now, *decodeGossip(encodeGossip(received.answer)).value);
        }
    }

    std::mt19937_64 m_random;
    LeavingCallerScenario m_scenario;
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::array<Server, serverCount> m_servers;
    std::vector<Gateway> m_gateways;
    std::vector<Request> m_requests; ///< At the servers.
    std::optional<TimePoint> m_thirdCrashAt;
    std::uint64_t m_usualCount = 0;
};

} // namespace turmericline
