#pragma once

#include "gossip.h"
#include "server_limit_codec.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/** What the gateways of a ServerLimitSimulation do; each safeguard can be taken away. */
struct LimitSafeguards
{
    bool sharesLimits = true; ///< Otherwise each gateway keeps the limit for itself.
    bool ownersSettle = true;
    bool permitsEnd = true;
    bool dividesAloneShare = true; ///< Otherwise each gateway that does not reach the owner has the whole limit.
    bool needsMajority = true;
};

struct LimitScenario
{
    std::size_t gateways = 9;
    double limit = 1; ///< Requests a second.
    double demand = 10; ///< Requests a second of all callers, which only the limited server can take.
    double lossShare = 0; ///< Of messages between gateways.
    double duplicateShare = 0;
    std::chrono::milliseconds maxExtraDelay{0}; ///< Of messages between gateways.
};

/**
 * Simulation of gateways that exchange limits and permits by messages, and of one server that states a limit. Its oracle
 * counts the requests that reach the server.
 */
class ServerLimitSimulation
{
public:
    using Time = std::chrono::milliseconds;

    ServerLimitSimulation(std::uint64_t seed, const LimitScenario &scenario, const LimitSafeguards &safeguards = {})
        : m_random(seed)
        , m_scenario(scenario)
        , m_safeguards(safeguards)
        , m_gateways(scenario.gateways)
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            start(i);
        }
        introduce();
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            at(m_now + Time(draw(0, tickPeriod.count())), [this, i] {
                tick(i);
            });
        }
        advance(Time(1'500));
        scheduleRequest();
    }

    /** The server states this limit in all answers from now on; nothing ends that. */
    void stateLimit(std::optional<double> limit)
    {
        m_limit = limit;
        m_firstStatedAt.reset();
    }

    void advance(Time time)
    {
        const auto end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_now = end;
    }

    /** Cuts gateways [0, @p n) off from all others, or from each other as well. They still reach the server. */
    void cut(std::size_t n, bool isEachAlone = false)
    {
        m_cutCount = n;
        m_isEachAlone = isEachAlone;
    }

    void heal()
    {
        m_cutCount = 0;
    }

    void freeze(std::size_t i, Time time)
    {
        auto &gateway = m_gateways[i];
        gateway.frozenUntil = std::max(gateway.frozenUntil, m_now + time);
    }

    /** One caller sends a request through each gateway at the same time. */
    void requestEverywhere()
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            request(i, 3);
        }
    }

    /** Share of callers that leave while a permit is asked for. */
    void setLeaving(double share)
    {
        m_leavingShare = share;
    }

    void restart(std::size_t i)
    {
        start(i);
    }

    std::optional<std::size_t> owner() const
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            if (m_gateways[i].limits->ownedCount() > 0 && m_gateways[i].frozenUntil <= m_now) {
                return i;
            }
        }
        return std::nullopt;
    }

    void handOver(std::size_t i)
    {
        m_gateways[i].limits->handOver(m_gateways[i].gossip->choosePeer(m_now));
    }

    TimePoint now() const
    {
        return m_now;
    }

    /** When an answer with the present limit first arrived at a gateway. */
    std::optional<TimePoint> firstStatedAt() const
    {
        return m_firstStatedAt;
    }

    /** Most requests that reached the server within @p window, of those from @p from on. */
    std::size_t mostArrivals(TimePoint from, Time window) const
    {
        std::size_t most = 0;
        auto first = std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from);
        for (auto last = first; last != m_arrivals.end(); ++last) {
            while (*first <= *last - window) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    std::size_t arrivalsBetween(TimePoint from, TimePoint to) const
    {
        return static_cast<std::size_t>(std::lower_bound(m_arrivals.begin(), m_arrivals.end(), to)
                                        - std::lower_bound(m_arrivals.begin(), m_arrivals.end(), from));
    }

    /** Gateways whose requests have reached the server since the start, or the last forgetServed(). */
    std::size_t servingGateways() const
    {
        return m_served.size();
    }

    void forgetServed()
    {
        m_served.clear();
    }

    std::size_t gatewaysWithoutLimit() const
    {
        return static_cast<std::size_t>(std::count_if(m_gateways.begin(), m_gateways.end(), [](const Gateway &it) {
            return !it.limits->isLimited(serverId);
        }));
    }

    std::size_t peerMessages = 0; ///< Gossip calls and answers.
    std::size_t peerBytes = 0; ///< Of their bodies, only of reports of limits.
    std::size_t permitCalls = 0;

private:
    static constexpr Time tickPeriod{50};
    static constexpr Time askTimeout{150};
    inline static const std::string serverId = "i-1";

    struct Gateway
    {
        std::unique_ptr<SuspectTable> suspects;
        std::unique_ptr<PartSuspects> parts;
        std::unique_ptr<ServerLimits> limits;
        std::unique_ptr<Gossip> gossip;
        TimePoint frozenUntil{};
        TimePoint lastTickAt{};
        std::uint64_t life = 0; ///< Number of starts; events of an earlier one are dropped.
        int ticks = 0;
    };

    struct Event
    {
        TimePoint at{};
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }

    bool happens(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    void at(TimePoint time, std::function<void()> run)
    {
        m_events.push({time, ++m_eventCount, std::move(run)});
    }

    static std::string addressOf(std::size_t i)
    {
        return "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000";
    }

    std::size_t indexOf(const std::string &address) const
    {
        return m_indexes.at(address);
    }

    static ServerIncarnation server()
    {
        return {serverId, 1, "d0"};
    }

    void start(std::size_t i)
    {
        auto &it = m_gateways[i];
        ServerLimitSettings settings;
        if (!m_safeguards.ownersSettle) {
            settings.settleTime = Time(0);
        }
        if (!m_safeguards.permitsEnd) {
            settings.permitTime = Time(60'000);
        }
        if (!m_safeguards.dividesAloneShare) {
            settings.aloneShare = static_cast<double>(m_gateways.size());
        }
        m_indexes[addressOf(i)] = i;
        it.suspects = std::make_unique<SuspectTable>(SuspectSettings{});
        it.parts = std::make_unique<PartSuspects>(PartSuspectSettings{}, i);
        it.limits = std::make_unique<ServerLimits>(m_random(), settings);
        it.limits->setOwnAddress(addressOf(i));
        it.gossip = std::make_unique<Gossip>(addressOf(i),
                                             "d" + std::to_string(i % 3),
                                             std::vector{addressOf(0), addressOf(3), addressOf(6)},
                                             *it.suspects,
                                             *it.parts,
                                             *it.limits,
                                             m_random);
        it.limits->setFleet({m_gateways.size(), false, false});
        it.lastTickAt = m_now;
        ++it.life;
    }

    /** The gateways have known each other for a while. */
    void introduce()
    {
        GossipMessage message;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            message.peers.push_back({addressOf(i), Time(draw(0, 4'000)), "d" + std::to_string(i % 3)});
        }
        message.sender = addressOf(0);
        for (auto &it : m_gateways) {
            it.gossip->onAnswer(m_now, message);
        }
    }

    bool isConnected(std::size_t a, std::size_t b) const
    {
        const bool isCutA = a < m_cutCount;
        const bool isCutB = b < m_cutCount;
        return isCutA == isCutB && !(isCutA && m_isEachAlone);
    }

    /** Runs @p receive at gateway @p to after the transit of a message, unless it is lost. */
    void send(std::size_t from, std::size_t to, const std::function<void()> &receive)
    {
        const int copies = happens(m_scenario.duplicateShare) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            if (isConnected(from, to) && !happens(m_scenario.lossShare)) {
                deliver(to, m_now + Time(draw(1, 3) + draw(0, m_scenario.maxExtraDelay.count())), receive);
            }
        }
    }

    void deliver(std::size_t to, TimePoint time, const std::function<void()> &receive)
    {
        at(time, [this, to, life = m_gateways[to].life, receive] {
            const auto &gateway = m_gateways[to];
            if (gateway.life != life) {
                return;
            }
            // The sender of a message has given up before the gateway wakes.
            if (gateway.frozenUntil <= m_now) {
                receive();
            }
        });
    }

    void tick(std::size_t i)
    {
        auto &gateway = m_gateways[i];
        if (gateway.frozenUntil > m_now) {
            at(gateway.frozenUntil, [this, i] {
                tick(i);
            });
            return;
        }
        if (m_now - gateway.lastTickAt > Time(500)) {
            gateway.limits->onStandstill(m_now, {});
        }
        gateway.lastTickAt = m_now;
        // What a gateway knows of the fleet changes slowly, and counting it is the largest part of a tick.
        if (gateway.ticks++ % 10 == 0) {
            auto view = gateway.gossip->fleetView(m_now);
            view.isWithMajority |= !m_safeguards.needsMajority;
            gateway.limits->setFleet(view);
        }
        for (const auto &it : gateway.gossip->tick(m_now)) {
            gossip(i, it);
        }
        at(m_now + tickPeriod, [this, i] {
            tick(i);
        });
    }

    void countMessage(const GossipMessage &message)
    {
        ++peerMessages;
        for (const auto &it : message.limits) {
            peerBytes += nlohmann::json::to_msgpack(encodeLimitReport(it)).size();
        }
    }

    void gossip(std::size_t from, const GossipCall &call)
    {
        auto message = call.message;
        if (!m_safeguards.sharesLimits) {
            message.limits.clear();
        }
        countMessage(message);
        const auto to = indexOf(call.address);
        send(from, to, [this, from, to, message = std::move(message)] {
            auto received = m_gateways[to].gossip->onCall(m_now, message);
            if (!m_safeguards.sharesLimits) {
                received.answer.limits.clear();
            }
            countMessage(received.answer);
            send(to, from, [this, from, answer = std::move(received.answer)] {
                m_gateways[from].gossip->onAnswer(m_now, answer);
            });
        });
    }

    void scheduleRequest()
    {
        const double seconds = std::exponential_distribution<>(m_scenario.demand)(m_random);
        at(m_now + std::chrono::ceil<TimePoint::duration>(std::chrono::duration<double>(seconds)), [this] {
            const auto i = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(m_gateways.size()) - 1));
            if (m_gateways[i].frozenUntil <= m_now) {
                request(i, 3);
            }
            scheduleRequest();
        });
    }

    void request(std::size_t i, int asksLeft)
    {
        auto &limits = *m_gateways[i].limits;
        const auto decision = limits.take(m_now, server());
        if (decision.verdict == PermitVerdict::Unlimited || decision.verdict == PermitVerdict::Granted) {
            arrive(i);
        } else if (decision.verdict == PermitVerdict::Ask && asksLeft > 0) {
            ask(i, asksLeft - 1);
        }
    }

    void ask(std::size_t i, int asksLeft)
    {
        const auto report = m_gateways[i].limits->reportOf(m_now, serverId);
        if (!report) {
            return;
        }
        ++permitCalls;
        const auto askedAt = m_now;
        const auto to = indexOf(report->owner);
        const auto isAnswered = std::make_shared<bool>(false);
        const auto finish = [this, i, askedAt, asksLeft, isAnswered](const std::optional<PermitReply> &reply) {
            if (std::exchange(*isAnswered, true)) {
                return;
            }
            if (reply) {
                m_gateways[i].limits->onReply(m_now, askedAt, serverId, *reply);
            } else {
                m_gateways[i].limits->onNoReply(m_now, serverId);
            }
            if (!happens(m_leavingShare)) {
                request(i, asksLeft);
            }
        };
        send(i, to, [this, i, to, report, finish] {
            const auto reply = m_gateways[to].limits->onAsk(m_now, *report);
            send(to, i, [finish, reply] {
                finish(reply);
            });
        });
        deliver(i, m_now + askTimeout, [finish] {
            finish(std::nullopt);
        });
    }

    /** The request reaches the server, whose answer states the limit of that time. */
    void arrive(std::size_t i)
    {
        m_arrivals.push_back(m_now);
        m_served.insert(i);
        const auto limit = m_limit;
        const auto sentAt = m_now;
        deliver(i, m_now + Time(draw(10, 300)), [this, i, limit, sentAt] {
            m_gateways[i].limits->onStatement(m_now, sentAt, {serverId, 1, limit});
            if (limit == m_limit && !m_firstStatedAt) {
                m_firstStatedAt = m_now;
            }
        });
    }

    std::mt19937_64 m_random;
    LimitScenario m_scenario;
    LimitSafeguards m_safeguards;
    TimePoint m_now{std::chrono::seconds(1'000)};
    std::vector<Gateway> m_gateways;
    std::map<std::string, std::size_t> m_indexes;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::size_t m_cutCount = 0;
    bool m_isEachAlone = false;
    double m_leavingShare = 0;
    std::optional<double> m_limit;
    std::optional<TimePoint> m_firstStatedAt;
    std::deque<TimePoint> m_arrivals; ///< In order of time.
    std::set<std::size_t> m_served;
};

} // namespace turmericline
