#pragma once

#include "group_coordinator.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

/** Faults to inject, as probabilities per order, query or step. */
struct GroupFaults
{
    double lostOrder = 0; ///< An order has no effect and gets no answer.
    double lostAnswer = 0; ///< An order takes effect and gets no answer.
    double lateOrder = 0; ///< An order gets no answer and takes effect 2 to 12 s later.
    double coordinatorRestarts = 0; ///< Per step.
    double rankRestarts = 0; ///< Per step; the group forms again with a new epoch.
    double agentUnreachable = 0; ///< Per step; one agent does not answer for up to 3 s.
    double agentRestarts = 0; ///< Per step; one agent loses its map cache and its counter baseline.
    double delayedReport = 0; ///< A report arrives up to 0.3 s after it was read.
    double groupIdle = 0; ///< Per step; the group runs no passes for up to 3 s.
    // Disabled safeguards, to show that the simulation detects the failures that they prevent.
    bool ignoresHolds = false; ///< Hold orders are acknowledged without effect.
    bool confirmsLostArmOrders = false; ///< Lost arm orders are reported as accepted.
};

/** Simulates the ranks of one group and their handling of orders in virtual time, with the coordinator under test. */
class GroupSimulation
{
public:
    static constexpr std::size_t ranks = 3;

    GroupSimulation(const GroupFaults &faults, std::uint64_t seed)
        : m_faults(faults)
        , m_random(seed)
        , m_coordinatorRandom(seed + 1)
        , m_ranks(ranks)
        , m_unreachableUntil(ranks)
        , m_caches(ranks)
        , m_choiceCounters(ranks)
    {
        for (auto &it : m_caches) {
            it.setInitialMap(1, 6, ranks);
        }
        startCoordinator();
    }

    /** Runs for @p time; returns a description of the failure, or an empty string. */
    std::string run(std::chrono::milliseconds time, bool withFaults)
    {
        m_withFaults = withFaults;
        const auto end = m_now + time;
        while (m_now < end && m_failure.empty()) {
            step();
        }
        return m_failure;
    }

    std::uint64_t passes() const
    {
        return m_pass;
    }

    std::uint64_t switches() const
    {
        return m_switches;
    }

    bool isHeld() const
    {
        return std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank &it) {
            return it.held.has_value();
        });
    }

private:
    using Time = turmericline::TimePoint;

    struct Map
    {
        turmericline::MapNumber version = 0;
        turmericline::LayerMaps content;
        bool operator==(const Map &) const = default;
    };

    struct Rank
    {
        Map map;
        std::optional<Map> preparing;
        Time preparedAt{};
        std::optional<Map> prepared;
        std::optional<turmericline::PassNumber> armedFor;
        std::optional<turmericline::PassNumber> held;
        turmericline::PassNumber acknowledgedHold = 0; ///< Pass of a hold that was acknowledged without effect.
        turmericline::MapNumber largestVersion = 0;
        std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(6, 0);
    };

    struct ScheduledAction
    {
        Time at;
        std::function<void()> action;
    };

    static constexpr std::chrono::milliseconds stepTime{10};
    static constexpr std::chrono::milliseconds passTime{40};

    bool isInjected(double probability)
    {
        return m_withFaults && std::uniform_real_distribution<double>()(m_random) < probability;
    }

    std::chrono::milliseconds randomDelay(int ms)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, ms)(m_random));
    }

    void schedule(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_scheduledActions.push_back({m_now + delay, std::move(action)});
    }

    void startCoordinator()
    {
        turmericline::ExpertLayout layout{1, 6, 4, 2};
        turmericline::GroupCoordinatorConfig config;
        config.balancer.demand.blockCounts = 10;
        config.balancer.goalSkew = 1.05; // Low, so that maps are proposed frequently.
        m_coordinator
            = std::make_unique<turmericline::GroupCoordinator>(config, layout, ranks, link(), m_coordinatorRandom);
    }

    turmericline::GroupLink link()
    {
        turmericline::GroupLink link;
        link.queryRanks = [this](const turmericline::RankQuery &query, turmericline::GroupLink::ReportHandler handler) {
            std::vector<bool> isUnreachable;
            for (std::uint32_t n = 0; n < query.count; ++n) {
                isUnreachable.push_back(m_withFaults && m_now < m_unreachableUntil[query.first + n]);
            }
            schedule(randomDelay(20) + stepTime, [this, query, isUnreachable, handler = std::move(handler)] {
                auto reply = isUnreachable.front() ? std::nullopt : std::optional(report(query, isUnreachable));
                // The agent of a block reads its own rank first and may then wait for other agents.
                const auto delay = isInjected(m_faults.delayedReport) ? randomDelay(300) : std::chrono::milliseconds(0);
                schedule(delay, [reply = std::move(reply), handler] {
                    handler(reply);
                });
            });
        };
        link.sendOrder
            = [this](const turmericline::GroupOrder &order, const turmericline::GroupLink::OrderHandler &handler) {
                  sendToBlock(order, handler);
              };
        return link;
    }

    using AnswerHandler = std::function<void(std::optional<turmericline::OrderAnswer> answer)>;

    /** Sends an order through the agent of the first rank. If that agent is unreachable, no rank gets the order. */
    void sendToBlock(const turmericline::GroupOrder &order, const turmericline::GroupLink::OrderHandler &handler)
    {
        struct Collection
        {
            turmericline::OrderAnswers answers;
            std::size_t pending = 0;
        };
        auto collection = std::make_shared<Collection>();
        collection->answers.resize(order.ranks.size());
        collection->pending = order.ranks.size();
        const bool isHeadUnreachable = m_withFaults && m_now < m_unreachableUntil[order.ranks.front()];
        for (std::size_t n = 0; n < order.ranks.size(); ++n) {
            auto add = [collection, n, handler](std::optional<turmericline::OrderAnswer> answer) {
                collection->answers[n] = answer;
                if (--collection->pending == 0) {
                    handler(collection->answers);
                }
            };
            if (isHeadUnreachable) {
                schedule(std::chrono::milliseconds(700), [add] {
                    add(std::nullopt);
                });
            } else {
                deliver(order.ranks[n], order.order, std::move(add));
            }
        }
    }

    void deliver(std::uint32_t rank, const turmericline::RankOrder &order, AnswerHandler handler)
    {
        const bool isConfirmed = m_faults.confirmsLostArmOrders && order.kind == turmericline::RankOrderKind::Arm;
        if ((m_withFaults && m_now < m_unreachableUntil[rank]) || isInjected(m_faults.lostOrder)) {
            schedule(std::chrono::milliseconds(700), [handler = std::move(handler), isConfirmed] {
                handler(isConfirmed ? std::optional(turmericline::OrderAnswer::Accepted) : std::nullopt);
            });
        } else if (isInjected(m_faults.lateOrder)) {
            schedule(std::chrono::seconds(2) + randomDelay(10'000), [this, rank, order] {
                execute(rank, order);
            });
            schedule(std::chrono::milliseconds(700), [handler = std::move(handler)] {
                handler(std::nullopt);
            });
        } else {
            const bool isAnswerLost = isInjected(m_faults.lostAnswer);
            schedule(randomDelay(20) + stepTime, [this, rank, order, isAnswerLost, handler = std::move(handler)] {
                const auto answer = execute(rank, order);
                schedule(isAnswerLost ? std::chrono::milliseconds(700) : randomDelay(10) + stepTime,
                         [answer, isAnswerLost, handler] {
                             handler(isAnswerLost ? std::nullopt : std::optional(answer));
                         });
            });
        }
    }

    /** Forwards an order to its rank, as the agent does. */
    turmericline::OrderAnswer execute(std::uint32_t n, turmericline::RankOrder order)
    {
        if (order.kind == turmericline::RankOrderKind::Prepare) {
            auto map = m_caches[n].resolveMap(order);
            if (!map) {
                return turmericline::OrderAnswer::BaseUnknown;
            }
            order.map = std::move(*map);
        }
        return accepts(n, order) ? turmericline::OrderAnswer::Accepted : turmericline::OrderAnswer::Refused;
    }

    /** Whether a rank accepts an order; updates its state. */
    bool accepts(std::uint32_t n, const turmericline::RankOrder &order)
    {
        using Kind = turmericline::RankOrderKind;
        auto &rank = m_ranks[n];
        if (order.epoch != m_epoch) {
            return false;
        }
        switch (order.kind) {
        case Kind::Prepare:
            if (rank.prepared && rank.prepared->version == order.version) {
                return true;
            }
            if (order.version <= rank.largestVersion || rank.armedFor || rank.preparing) {
                return false;
            }
            rank.largestVersion = order.version;
            rank.preparing = Map{order.version, order.map};
            rank.preparedAt = m_now + std::chrono::milliseconds(100) + randomDelay(300);
            return true;
        case Kind::Arm:
            if (rank.armedFor && rank.prepared->version == order.version) {
                return *rank.armedFor == order.pass;
            }
            if (!rank.prepared || rank.prepared->version != order.version || order.pass <= m_pass
                || rank.map.version == order.version) {
                return false;
            }
            rank.armedFor = order.pass;
            return true;
        case Kind::Disarm:
            if (rank.map.version == order.version) {
                return false;
            }
            rank.armedFor.reset();
            return true;
        case Kind::Hold:
            if (m_faults.ignoresHolds) {
                rank.acknowledgedHold = order.pass;
                return order.pass > m_pass;
            }
            if (rank.held == order.pass) {
                return true;
            }
            if (order.pass <= m_pass || rank.held) {
                return false;
            }
            rank.held = order.pass;
            return true;
        case Kind::Go:
            if (rank.held == order.pass) {
                rank.held.reset();
            }
            rank.acknowledgedHold = 0;
            return true;
        }
        return false;
    }

    turmericline::GroupReport report(const turmericline::RankQuery &query, const std::vector<bool> &isUnreachable)
    {
        turmericline::GroupReport combined;
        for (std::uint32_t n = 0; n < query.count; ++n) {
            if (isUnreachable[n]) {
                continue;
            }
            const auto rank = query.first + n;
            turmericline::GroupReport single;
            single.ranks.push_back(report(rank));
            if (query.withChoices) {
                single.choices = m_choiceCounters[rank].choicesSinceLast({m_epoch, m_ranks[rank].counts});
            }
            merge(combined, std::move(single));
        }
        return combined;
    }

    turmericline::RankReport report(std::uint32_t n) const
    {
        const auto &rank = m_ranks[n];
        turmericline::RankReport it;
        it.state.group = "g";
        it.state.epoch = m_epoch;
        it.state.rank = n;
        it.state.size = ranks;
        it.state.isOpen = m_now >= m_openAt;
        it.state.pass = m_pass;
        it.state.map = rank.map.version;
        if (rank.prepared) {
            it.state.prepared = rank.prepared->version;
        }
        if (rank.armedFor) {
            it.state.armed = rank.prepared->version;
        }
        it.state.held = rank.held;
        if (rank.acknowledgedHold > m_pass) {
            it.state.held = rank.acknowledgedHold;
        }
        if (!rank.map.content.empty()) {
            it.held = {rank.map.content[0][n]};
        }
        return it;
    }

    void step()
    {
        m_now += stepTime;
        injectFaults();
        for (auto &it : m_ranks) {
            if (it.preparing && m_now >= it.preparedAt) {
                it.prepared = std::exchange(it.preparing, std::nullopt);
            }
        }
        runDue();
        if (m_now >= m_passEndsAt && m_now >= m_openAt && m_now >= m_idleUntil) {
            beginPass();
        }
        if (m_now.time_since_epoch() % std::chrono::milliseconds(50) == std::chrono::milliseconds(0)) {
            m_coordinator->tick(m_now);
        }
    }

    void runDue()
    {
        std::vector<ScheduledAction> due;
        const auto isDue = [this](const ScheduledAction &it) {
            return it.at <= m_now;
        };
        std::copy_if(m_scheduledActions.begin(), m_scheduledActions.end(), std::back_inserter(due), isDue);
        std::erase_if(m_scheduledActions, isDue);
        for (const auto &it : due) {
            it.action();
        }
    }

    void beginPass()
    {
        const auto next = m_pass + 1;
        const bool isHeld = std::any_of(m_ranks.begin(), m_ranks.end(), [next](const Rank &it) {
            return it.held && *it.held <= next;
        });
        if (isHeld) {
            return;
        }
        m_pass = next;
        m_passEndsAt = m_now + passTime;
        const auto before = m_ranks.front().map.version;
        // The popular expert changes every 3 s, so that maps are proposed frequently.
        const auto popular = static_cast<std::size_t>(m_now.time_since_epoch() / std::chrono::seconds(3)) % 6;
        for (auto &it : m_ranks) {
            if (it.armedFor == next) {
                it.map = *it.prepared;
                it.armedFor.reset();
                it.prepared.reset();
            }
            for (std::size_t e = 0; e < it.counts.size(); ++e) {
                it.counts[e] += e == popular ? 50 : 5;
            }
        }
        m_switches += m_ranks.front().map.version != before ? 1 : 0;
        for (const auto &it : m_ranks) {
            if (!(it.map == m_ranks.front().map)) {
                m_failure = "pass " + std::to_string(next) + " began with two maps";
            }
        }
    }

    void injectFaults()
    {
        if (isInjected(m_faults.coordinatorRestarts)) {
            m_coordinator.reset();
            startCoordinator();
        }
        if (isInjected(m_faults.rankRestarts)) {
            ++m_epoch;
            m_pass = 0;
            m_openAt = m_now + std::chrono::milliseconds(600);
            for (auto &it : m_ranks) {
                it = {};
            }
        }
        if (isInjected(m_faults.agentUnreachable)) {
            m_unreachableUntil[m_random() % ranks] = m_now + randomDelay(3'000);
        }
        if (isInjected(m_faults.agentRestarts)) {
            const auto n = m_random() % ranks;
            m_caches[n] = {};
            m_choiceCounters[n] = {};
        }
        if (isInjected(m_faults.groupIdle)) {
            m_idleUntil = m_now + randomDelay(3'000);
        }
    }

    GroupFaults m_faults;
    std::mt19937_64 m_random;
    std::mt19937_64 m_coordinatorRandom;
    std::vector<Rank> m_ranks;
    std::vector<Time> m_unreachableUntil;
    std::vector<turmericline::MapCache> m_caches; ///< Of the agents, by rank.
    std::vector<turmericline::ChoiceCounter> m_choiceCounters;
    std::unique_ptr<turmericline::GroupCoordinator> m_coordinator;
    std::vector<ScheduledAction> m_scheduledActions;
    Time m_now{std::chrono::seconds(1'000)};
    Time m_passEndsAt{};
    Time m_openAt{};
    Time m_idleUntil{};
    std::uint64_t m_epoch = 1;
    turmericline::PassNumber m_pass = 0;
    std::uint64_t m_switches = 0;
    bool m_withFaults = false;
    std::string m_failure;
};
