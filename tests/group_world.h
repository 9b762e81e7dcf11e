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
    double lost = 0; ///< An order has no effect and gets no answer.
    double lostAnswer = 0; ///< An order takes effect and gets no answer.
    double late = 0; ///< An order gets no answer and takes effect 2 to 12 s later.
    double coordinatorDies = 0; ///< Per step.
    double rankRestarts = 0; ///< Per step; the group forms again with a new epoch.
    double agentCut = 0; ///< Per step; one agent does not answer for up to 3 s.
    double agentRestarts = 0; ///< Per step; one agent loses its map cache and its counter baseline.
    double slowNews = 0; ///< A report arrives up to 0.3 s after it was read.
    double idle = 0; ///< Per step; the group runs no passes for up to 3 s.
    // Disabled safeguards, to show that the simulation detects the failures that they prevent.
    bool holdsNothing = false; ///< Hold orders are acknowledged without effect.
    bool claimsArmed = false; ///< Lost arm orders are reported as accepted.
};

/** Simulates the ranks of one group and their handling of orders in virtual time, with the coordinator under test. */
class GroupWorld
{
public:
    static constexpr std::size_t ranks = 3;

    GroupWorld(const GroupFaults &faults, std::uint64_t seed)
        : m_faults(faults)
        , m_random(seed)
        , m_coordinatorRandom(seed + 1)
        , m_ranks(ranks)
        , m_cutUntil(ranks)
        , m_caches(ranks)
        , m_meters(ranks)
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
    using Clock = turmericline::TimePoint;

    struct Map
    {
        turmericline::MapNumber version = 0;
        turmericline::LayerMaps content;
        bool operator==(const Map &) const = default;
    };

    struct Rank
    {
        Map map;
        std::optional<Map> copying;
        Clock copiedAt{};
        std::optional<Map> prepared;
        std::optional<turmericline::PassNumber> armedFor;
        std::optional<turmericline::PassNumber> held;
        turmericline::PassNumber claimed = 0; ///< Pass of a hold that was acknowledged without effect.
        turmericline::MapNumber largest = 0;
        std::vector<std::uint64_t> counts = std::vector<std::uint64_t>(6, 0);
    };

    struct Timed
    {
        Clock at;
        std::function<void()> action;
    };

    static constexpr std::chrono::milliseconds stepTime{10};
    static constexpr std::chrono::milliseconds passTime{40};

    bool happens(double probability)
    {
        return m_withFaults && std::uniform_real_distribution<double>()(m_random) < probability;
    }

    std::chrono::milliseconds upTo(int ms)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, ms)(m_random));
    }

    void later(std::chrono::milliseconds delay, std::function<void()> action)
    {
        m_timed.push_back({m_now + delay, std::move(action)});
    }

    void startCoordinator()
    {
        turmericline::ExpertLayout layout{1, 6, 4, 2};
        turmericline::ExpertBalancerConfig config;
        config.demand.blockCounts = 10;
        config.goalSkew = 1.05; // Low, so that maps are proposed frequently.
        m_coordinator
            = std::make_unique<turmericline::GroupCoordinator>(config, layout, ranks, link(), m_coordinatorRandom);
    }

    turmericline::GroupLink link()
    {
        turmericline::GroupLink link;
        link.askNews
            = [this](const turmericline::RankQuestion &question, turmericline::GroupLink::NewsHandler handler) {
                  std::vector<bool> isCut;
                  for (std::uint32_t n = 0; n < question.count; ++n) {
                      isCut.push_back(m_withFaults && m_now < m_cutUntil[question.first + n]);
                  }
                  later(upTo(20) + stepTime, [this, question, isCut, handler = std::move(handler)] {
                      auto told = isCut.front() ? std::nullopt : std::optional(news(question, isCut));
                      // The agent of a block reads its own rank first and may then wait for other agents.
                      const auto delay = happens(m_faults.slowNews) ? upTo(300) : std::chrono::milliseconds(0);
                      later(delay, [told = std::move(told), handler] {
                          handler(told);
                      });
                  });
              };
        link.sendOrder = [this](std::uint32_t rank,
                                const turmericline::RankOrder &order,
                                turmericline::GroupLink::OrderHandler handler) {
            deliver(rank, order, std::move(handler));
        };
        return link;
    }

    void
    deliver(std::uint32_t rank, const turmericline::RankOrder &order, turmericline::GroupLink::OrderHandler handler)
    {
        const bool isClaimed = m_faults.claimsArmed && order.kind == turmericline::RankOrderKind::Arm;
        if ((m_withFaults && m_now < m_cutUntil[rank]) || happens(m_faults.lost)) {
            later(std::chrono::milliseconds(700), [handler = std::move(handler), isClaimed] {
                handler(isClaimed ? std::optional(turmericline::OrderAnswer::Accepted) : std::nullopt);
            });
        } else if (happens(m_faults.late)) {
            later(std::chrono::seconds(2) + upTo(10'000), [this, rank, order] {
                execute(rank, order);
            });
            later(std::chrono::milliseconds(700), [handler = std::move(handler)] {
                handler(std::nullopt);
            });
        } else {
            const bool isAnswerLost = happens(m_faults.lostAnswer);
            later(upTo(20) + stepTime, [this, rank, order, isAnswerLost, handler = std::move(handler)] {
                const auto answer = execute(rank, order);
                later(isAnswerLost ? std::chrono::milliseconds(700) : upTo(10) + stepTime,
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
            if (order.version <= rank.largest || rank.armedFor || rank.copying) {
                return false;
            }
            rank.largest = order.version;
            rank.copying = Map{order.version, order.map};
            rank.copiedAt = m_now + std::chrono::milliseconds(100) + upTo(300);
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
            if (m_faults.holdsNothing) {
                rank.claimed = order.pass;
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
            rank.claimed = 0;
            return true;
        }
        return false;
    }

    turmericline::GroupNews news(const turmericline::RankQuestion &question, const std::vector<bool> &isCut)
    {
        turmericline::GroupNews all;
        for (std::uint32_t n = 0; n < question.count; ++n) {
            if (isCut[n]) {
                continue;
            }
            const auto rank = question.first + n;
            turmericline::GroupNews one;
            one.ranks.push_back(news(rank));
            if (question.withChoices) {
                one.choices = m_meters[rank].since({m_epoch, m_ranks[rank].counts});
            }
            merge(all, std::move(one));
        }
        return all;
    }

    turmericline::RankNews news(std::uint32_t n) const
    {
        const auto &rank = m_ranks[n];
        turmericline::RankNews it;
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
        if (rank.claimed > m_pass) {
            it.state.held = rank.claimed;
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
            if (it.copying && m_now >= it.copiedAt) {
                it.prepared = std::exchange(it.copying, std::nullopt);
            }
        }
        runDue();
        if (m_now >= m_passEndsAt && m_now >= m_openAt && m_now >= m_busyAt) {
            beginPass();
        }
        if (m_now.time_since_epoch() % std::chrono::milliseconds(50) == std::chrono::milliseconds(0)) {
            m_coordinator->tick(m_now);
        }
    }

    void runDue()
    {
        std::vector<Timed> due;
        const auto isDue = [this](const Timed &it) {
            return it.at <= m_now;
        };
        std::copy_if(m_timed.begin(), m_timed.end(), std::back_inserter(due), isDue);
        std::erase_if(m_timed, isDue);
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
        if (happens(m_faults.coordinatorDies)) {
            m_coordinator.reset();
            startCoordinator();
        }
        if (happens(m_faults.rankRestarts)) {
            ++m_epoch;
            m_pass = 0;
            m_openAt = m_now + std::chrono::milliseconds(600);
            for (auto &it : m_ranks) {
                it = {};
            }
        }
        if (happens(m_faults.agentCut)) {
            m_cutUntil[m_random() % ranks] = m_now + upTo(3'000);
        }
        if (happens(m_faults.agentRestarts)) {
            const auto n = m_random() % ranks;
            m_caches[n] = {};
            m_meters[n] = {};
        }
        if (happens(m_faults.idle)) {
            m_busyAt = m_now + upTo(3'000);
        }
    }

    GroupFaults m_faults;
    std::mt19937_64 m_random;
    std::mt19937_64 m_coordinatorRandom;
    std::vector<Rank> m_ranks;
    std::vector<Clock> m_cutUntil;
    std::vector<turmericline::MapCache> m_caches; ///< Of the agents, by rank.
    std::vector<turmericline::ChoiceMeter> m_meters;
    std::unique_ptr<turmericline::GroupCoordinator> m_coordinator;
    std::vector<Timed> m_timed;
    Clock m_now{std::chrono::seconds(1'000)};
    Clock m_passEndsAt{};
    Clock m_openAt{};
    Clock m_busyAt{};
    std::uint64_t m_epoch = 1;
    turmericline::PassNumber m_pass = 0;
    std::uint64_t m_switches = 0;
    bool m_withFaults = false;
    std::string m_failure;
};
