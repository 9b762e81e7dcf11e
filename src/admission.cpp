#include "admission.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace turmericline {

namespace {

using Seconds = std::chrono::duration<double>;

/** Half-life of a request in the demand: longer than a burst of retries, shorter than a change of the users' habits. */
constexpr Seconds demandHalfLife{5};
/** Part of the limit that is kept free for more urgent requests if all of the demand is more urgent. */
constexpr double urgentReserve = 0.3;
/** Lower bound of the limit as a part of the slots, before the reserve: with free slots, a refusal gains little. */
constexpr double minLimitShare = 0.6;
/** The same with the reserve for more urgent requests. */
constexpr double minReservedShare = 0.5;
/** Upper bound of the limit: requests beyond the slots wait at the rank and slow down nobody, up to the wait that the table allows. */
constexpr double maxLimitShare = 1.2;
/** Around the limit, requests are admitted at random, since the gateways decide on loads of the same age. */
constexpr double limitSpread = 0.05;
/** Change of the limit for a request of twice the usual work. */
constexpr double sizeWeight = 0.05;
constexpr double maxSizeRatio = 2;
/** Weight of a request in the mean work. */
constexpr double workWeight = 0.05;

std::size_t priorityIndex(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, 9);
}

} // namespace

Admission::Admission(std::uint64_t seed)
    : m_random(seed)
{
}

void Admission::setConfig(const RoutingConfig &config)
{
    std::map<std::string, std::map<std::uint32_t, std::chrono::milliseconds>> targets;
    for (const auto &rule : config.rules) {
        for (const auto &it : rule.targets) {
            if (rule.gapTarget) {
                auto &target = targets[it.service].try_emplace(rule.priority, rule.latencyTarget).first->second;
                target = std::min(target, rule.latencyTarget);
            }
        }
    }
    std::map<std::string, Service, std::less<>> services;
    for (const auto &it : config.services) {
        if (it.engine && targets[it.name].size() > 1) {
            auto &service = services[it.name];
            if (const auto known = m_services.find(it.name); known != m_services.end()) {
                service = known->second;
            }
            service.engine = *it.engine;
            service.latencyTargets = targets[it.name];
        }
    }
    m_services = std::move(services);
}

void Admission::setLoads(const std::vector<GroupLoad> &loads)
{
    std::set<std::string_view> present;
    for (const auto &it : loads) {
        if (!m_services.contains(it.service) || it.ranks == 0) {
            continue;
        }
        auto &group = m_groups[it.group];
        group.service = it.service;
        group.ranks = static_cast<double>(it.ranks);
        group.requests = it.requests;
        present.insert(it.group);
    }
    std::erase_if(m_groups, [&present](const auto &it) {
        return !present.contains(it.first);
    });
}

void Admission::onPause(TimePoint now, std::string_view group, Seconds pause)
{
    if (const auto it = m_groups.find(group); it != m_groups.end()) {
        auto &entry = it->second;
        if (const auto service = m_services.find(entry.service); service != m_services.end()) {
            entry.passTime.add(now, pause, entry.requests / entry.ranks, service->second.engine);
        }
    }
}

void Admission::onSent(std::string_view group)
{
    if (const auto it = m_groups.find(group); it != m_groups.end()) {
        it->second.requests += 1;
    }
}

std::chrono::milliseconds
Admission::latencyTarget(std::string_view service, std::uint32_t priority, std::chrono::milliseconds ownTarget) const
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        for (const auto &[urgency, target] : found->second.latencyTargets) {
            ownTarget = urgency < priority ? std::min(ownTarget, target) : ownTarget;
        }
    }
    return ownTarget;
}

void Admission::record(TimePoint now, Service &service, const AdmissionRequest &request)
{
    const double weight = std::exp2(-Seconds(now - std::exchange(service.decayedAt, now)) / demandHalfLife);
    for (auto &it : service.demand) {
        it *= weight;
    }
    service.demand[priorityIndex(request.priority)] += 1;
    const double work = workMs(service.engine, request);
    service.meanWorkMs += service.meanWorkMs > 0 ? (work - service.meanWorkMs) * workWeight : work;
}

/** Time of an engine that the request takes. The estimate of the caller and the usual length correct each other. */
double Admission::workMs(const EngineProfile &engine, const AdmissionRequest &request)
{
    double answer = engine.usualAnswerTokens;
    if (request.answerTokens) {
        answer = std::sqrt(answer * static_cast<double>(*request.answerTokens));
    }
    if (request.maxAnswerTokens) {
        answer = std::min(answer, static_cast<double>(*request.maxAnswerTokens));
    }
    const double prompt
        = request.promptTokens > 0 ? static_cast<double>(request.promptTokens) : engine.usualPromptTokens;
    return prompt / engine.promptTokensPerMs + answer * engine.requestMs;
}

/** Part of the demand that is more urgent than @p priority. */
double Admission::urgentShare(const Service &service, std::uint32_t priority)
{
    double all = 0;
    double urgent = 0;
    for (std::size_t n = 0; n < service.demand.size(); ++n) {
        all += service.demand[n];
        urgent += n < priorityIndex(priority) ? service.demand[n] : 0;
    }
    return all > 0 ? urgent / all : 0;
}

double Admission::sizeFactor(const Service &service, double workMs)
{
    if (service.meanWorkMs <= 0) {
        return 1;
    }
    // Bounded, so that a wrong estimate shifts a request by less than one priority.
    const double ratio = std::min(workMs / service.meanWorkMs, maxSizeRatio);
    return 1 - sizeWeight * (ratio - 1);
}

double
Admission::limitOf(TimePoint now, const Service &service, const Group &group, const AdmissionRequest &request) const
{
    const double slots = service.engine.slots;
    const double most = slots * maxLimitShare;
    const auto limit
        = request.gapTarget ? group.passTime.loadLimit(now, Seconds(*request.gapTarget), service.engine) : std::nullopt;
    const double reserve = 1 - urgentReserve * urgentShare(service, request.priority);
    const double size = sizeFactor(service, workMs(service.engine, request));
    const double least = slots * std::max(minLimitShare * reserve, minReservedShare);
    return std::max(std::min(limit.value_or(most), most) * reserve * size, least);
}

AdmissionDecision Admission::decide(TimePoint now, const AdmissionRequest &request)
{
    AdmissionDecision decision;
    auto &counts = m_counts[priorityIndex(request.priority)];
    ++counts.offered;
    const auto found = m_services.find(request.service);
    if (found == m_services.end()) {
        return decision;
    }
    auto &service = found->second;
    record(now, service, request);
    const double spread = 1 + std::uniform_real_distribution<>(-limitSpread, limitSpread)(m_random);
    std::size_t groups = 0;
    for (const auto &[name, group] : m_groups) {
        if (group.service != request.service) {
            continue;
        }
        ++groups;
        const double load = group.requests / group.ranks;
        const double limit = limitOf(now, service, group, request) * spread;
        if (load < limit) {
            continue;
        }
        decision.fullGroups.push_back(name);
        if (!decision.basis || load - limit < decision.basis->load - decision.basis->limit) {
            const auto pause
                = std::chrono::round<std::chrono::milliseconds>(group.passTime.slowest(now, load, service.engine));
            decision.basis = AdmissionBasis{load, limit, pause};
        }
    }
    decision.isAdmitted = groups == 0 || decision.fullGroups.size() < groups;
    if (decision.isAdmitted) {
        decision.basis.reset();
    } else {
        ++counts.refused;
        decision.urgentShare = urgentShare(service, request.priority);
    }
    return decision;
}

} // namespace turmericline
