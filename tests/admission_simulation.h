#pragma once

#include "admission.h"
#include "backend_choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

/** How the gateways of an AdmissionSimulation admit requests. */
enum class AdmissionPolicy {
    None, ///< All requests are sent.
    SamePriority, ///< All requests count as equally urgent.
    ByPriority,
};

/** One kind of request. */
struct RequestKind
{
    double perSecond = 0;
    double burst = 1; ///< Factor of the rate during the burst.
    double worth = 1; ///< Credit of an answer in time.
    std::chrono::milliseconds latencyTarget{500};
};

/** What became of the requests of one kind. */
struct KindResult
{
    std::size_t offered = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    double credit = 0; ///< Of that which all requests in time would have earned.
};

struct AdmissionScenario
{
    std::size_t gateways = 35;
    std::size_t groups = 3;
    std::size_t ranks = 24; ///< Of a group.
    double hintError = 1; ///< Factor by which the callers' estimates of their answers are off.
    double engineError = 1; ///< Factor by which the stated speed of the engines is off.
};

/**
 * Replay of an overload, in virtual time: groups of ranks in lock-step that follow the published formula of a pass, and
 * gateways that see their loads with a delay. The kinds have priorities 0, 1 and 2; a burst of the first and of the last
 * one goes beyond what the groups serve in time.
 */
class AdmissionSimulation
{
public:
    AdmissionSimulation(std::uint64_t seed, AdmissionPolicy policy, const AdmissionScenario &scenario = {})
        : m_random(seed)
        , m_policy(policy)
        , m_scenario(scenario)
        , m_groups(scenario.groups)
    {
        for (auto &it : m_groups) {
            it.ranks.resize(scenario.ranks);
        }
        turmericline::RoutingConfig config;
        config.services.resize(1);
        config.services[0].name = "s";
        config.services[0].engine = turmericline::EngineProfile{
            stepMs * scenario.engineError, requestMs * scenario.engineError, readPerMs, slots, 870, 96};
        for (std::uint32_t n = 0; n < kinds.size(); ++n) {
            turmericline::RoutingRule rule;
            rule.targets = {{"s", 1}};
            rule.gapTarget = gapTarget;
            rule.latencyTarget = kinds[n].latencyTarget;
            rule.priority = n;
            config.rules.push_back(rule);
        }
        for (std::size_t n = 0; n < scenario.gateways; ++n) {
            m_gateways.emplace_back(m_random());
            m_gateways.back().setConfig(config);
        }
    }

    /** Plays 20 s with a burst from 6 to 12 s, and returns the results by kind. */
    std::array<KindResult, 3> run()
    {
        for (; m_now < start + std::chrono::seconds(20); m_now += tick) {
            if ((m_now - start) % loadPeriod == std::chrono::milliseconds(0)) {
                reportLoads();
            }
            arrive();
            for (auto &it : m_groups) {
                if (m_now >= it.passEnd) {
                    endPass(it);
                }
            }
        }
        return m_results;
    }

private:
    using Time = std::chrono::milliseconds;

    static constexpr double stepMs = 4.55;
    static constexpr double requestMs = 1.09;
    static constexpr double readPerMs = 61.4;
    static constexpr std::uint32_t slots = 10;
    static constexpr int stride = 5; ///< Tokens of an event, and steps of a pass.
    static constexpr double expertShare = 0.85; ///< Part of the work that the ranks share.
    static constexpr double shiftedSkew = 2; ///< While the map has not followed a shift of the demand.
    static constexpr Time shiftPeriod{4'200};
    static constexpr Time shiftTime{500};
    static constexpr double skew = 1.25; ///< Time of the most loaded rank for experts, of the mean.
    static constexpr Time gapTarget{150};
    static constexpr Time tick{5};
    static constexpr Time loadPeriod{100};
    static constexpr std::size_t loadDelay = 2; ///< In periods.
    static constexpr double lateWorth = 0.35;
    static constexpr turmericline::TimePoint start{std::chrono::seconds(1'000)};
    static constexpr std::array<RequestKind, 3> kinds{
        {{91, 1.9, 3, Time(500)}, {121, 1, 1.6, Time(500)}, {40, 2.2, 0.8, Time(1'000)}}};

    struct Stream
    {
        std::size_t kind = 0;
        std::size_t gateway = 0;
        turmericline::TimePoint arrived{};
        double prompt = 0; ///< Tokens that are not read yet.
        int events = 0; ///< That are left.
        turmericline::TimePoint lastEventAt{};
        bool hasBegun = false;
        bool isLate = false;
    };

    struct Rank
    {
        std::vector<Stream> running;
        std::vector<Stream> waiting; ///< Started by priority, then by arrival.
    };

    struct Group
    {
        std::vector<Rank> ranks;
        turmericline::TimePoint passEnd = start;
    };

    struct Loads
    {
        std::vector<turmericline::GroupLoad> groups;
        std::vector<double> ranks; ///< Of all groups.
    };

    void reportLoads()
    {
        Loads loads;
        for (std::size_t n = 0; n < m_groups.size(); ++n) {
            turmericline::GroupLoad load{std::to_string(n), "s", m_groups[n].ranks.size(), 0};
            for (const auto &it : m_groups[n].ranks) {
                const auto requests = static_cast<double>(it.running.size() + it.waiting.size());
                load.requests += requests;
                loads.ranks.push_back(requests);
            }
            loads.groups.push_back(load);
        }
        m_loads.push_back(std::move(loads));
        if (m_loads.size() > loadDelay) {
            m_loads.pop_front();
        }
        for (auto &it : m_gateways) {
            it.setLoads(m_loads.front().groups);
        }
    }

    void arrive()
    {
        const bool isBurst = m_now >= start + Time(6'000) && m_now < start + Time(12'000);
        for (std::size_t n = 0; n < kinds.size(); ++n) {
            const double rate = kinds[n].perSecond * (isBurst ? kinds[n].burst : 1);
            std::poisson_distribution<int> requests(rate * static_cast<double>(tick.count()) / 1'000);
            for (int count = requests(m_random); count > 0; --count) {
                arrive(n);
            }
        }
    }

    void arrive(std::size_t kind)
    {
        auto &result = m_results[kind];
        ++result.offered;
        Stream it;
        it.kind = kind;
        it.gateway = m_random() % m_gateways.size();
        it.arrived = m_now;
        it.prompt = std::min(std::lognormal_distribution<>(6.5, 0.7)(m_random), 2'800.0);
        it.events = static_cast<int>(std::clamp(std::lognormal_distribution<>(2.8, 0.6)(m_random), 3.0, 48.0));
        auto &gateway = m_gateways[it.gateway];
        turmericline::AdmissionDecision decision;
        if (m_policy != AdmissionPolicy::None) {
            const auto priority = m_policy == AdmissionPolicy::ByPriority ? static_cast<std::uint32_t>(kind) : 0;
            const double hint = it.events * stride * std::exp2(std::normal_distribution<>(0, 1)(m_random));
            decision = gateway.decide(m_now,
                                      {"s",
                                       priority,
                                       gapTarget,
                                       static_cast<std::uint64_t>(it.prompt),
                                       static_cast<std::uint64_t>(hint * m_scenario.hintError),
                                       std::nullopt});
        }
        if (!decision.isAdmitted) {
            ++result.refused;
            return;
        }
        send(it, decision.fullGroups);
    }

    void send(const Stream &stream, const std::vector<std::string> &fullGroups)
    {
        const auto isFull = [&](std::size_t group) {
            return std::find(fullGroups.begin(), fullGroups.end(), std::to_string(group)) != fullGroups.end();
        };
        std::vector<std::size_t> candidates;
        std::vector<double> loads;
        for (std::size_t n = 0; n < m_loads.front().ranks.size(); ++n) {
            if (!isFull(n / m_scenario.ranks)) {
                candidates.push_back(n);
                loads.push_back(m_loads.front().ranks[n]);
            }
        }
        const double arrivals = 0.5 * static_cast<double>(candidates.size());
        const auto rank = candidates[turmericline::chooseByWaterFilling(loads, arrivals, m_random)];
        const auto group = rank / m_scenario.ranks;
        m_gateways[stream.gateway].onSent(std::to_string(group));
        m_groups[group].ranks[rank % m_scenario.ranks].waiting.push_back(stream);
    }

    void endPass(Group &group)
    {
        const auto name = std::to_string(&group - m_groups.data());
        for (auto &rank : group.ranks) {
            for (auto &it : rank.running) {
                advance(it, name);
            }
            std::erase_if(rank.running, [this](const Stream &it) {
                if (it.events > 0) {
                    return false;
                }
                record(it);
                return true;
            });
        }
        beginPass(group);
    }

    /** A stream gets an event in each pass that it did not spend on reading its prompt. */
    void advance(Stream &it, const std::string &group)
    {
        if (it.prompt > 0) {
            it.prompt = 0;
            return;
        }
        --it.events;
        if (!it.hasBegun) {
            it.isLate = m_now - it.arrived > kinds[it.kind].latencyTarget;
        } else {
            it.isLate |= m_now - it.lastEventAt > gapTarget;
            m_gateways[it.gateway].onPause(m_now, group, m_now - it.lastEventAt);
        }
        it.hasBegun = true;
        it.lastEventAt = m_now;
    }

    void record(const Stream &it)
    {
        auto &result = m_results[it.kind];
        ++(it.isLate ? result.late : result.inTime);
        result.credit += kinds[it.kind].worth * (it.isLate ? lateWorth : 1);
    }

    void beginPass(Group &group)
    {
        double mostMs = 0;
        double allMs = 0;
        for (auto &rank : group.ranks) {
            std::stable_sort(rank.waiting.begin(), rank.waiting.end(), [](const Stream &a, const Stream &b) {
                return a.kind < b.kind;
            });
            double prompts = 0;
            while (rank.running.size() < slots && !rank.waiting.empty()) {
                prompts += rank.waiting.front().prompt;
                rank.running.push_back(rank.waiting.front());
                rank.waiting.erase(rank.waiting.begin());
            }
            const double steps = stride * (stepMs + requestMs * static_cast<double>(rank.running.size()));
            const double workMs = steps + prompts / readPerMs;
            mostMs = std::max(mostMs, workMs);
            allMs += workMs;
        }
        const double meanMs = allMs / static_cast<double>(group.ranks.size());
        const bool isShifted = (m_now - start) % shiftPeriod < shiftTime;
        const double passMs = (1 - expertShare) * mostMs + expertShare * meanMs * (isShifted ? shiftedSkew : skew);
        group.passEnd = m_now + std::chrono::ceil<Time>(std::chrono::duration<double, std::milli>(passMs));
    }

    std::mt19937_64 m_random;
    AdmissionPolicy m_policy;
    AdmissionScenario m_scenario;
    turmericline::TimePoint m_now = start;
    std::vector<Group> m_groups;
    std::deque<turmericline::Admission> m_gateways;
    std::deque<Loads> m_loads;
    std::array<KindResult, 3> m_results{};
};
