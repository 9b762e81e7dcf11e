#include "expert_map.h"

#include <algorithm>
#include <iterator>

namespace turmericline {

namespace {

constexpr MapVersion noMap{};

} // namespace

bool UnanimousSwitch::isComplete(std::size_t reports, std::size_t ranks)
{
    return reports == ranks;
}

MapVersion UnanimousSwitch::next(const MapVersion &inUse, std::span<const MapVersion> reported, RankIndex /*self*/)
{
    const bool isUnanimous = std::all_of(reported.begin(), reported.end(), [&](const MapVersion &it) {
        return it == reported.front();
    });
    return isUnanimous && reported.front().epoch > inUse.epoch ? reported.front() : inUse;
}

ExpertMapBase::ExpertMapBase(RankIndex self, std::size_t ranks, RankIncarnation incarnation)
    : m_self(self)
    , m_members(ranks)
{
    m_members[self] = incarnation;
    GroupActions unsent;
    startGeneration(0, unsent);
}

GroupActions ExpertMapBase::onMessage(const GroupMessage &message)
{
    GroupActions actions;
    if (const auto *join = std::get_if<JoinMessage>(&message)) {
        onJoin(*join, actions);
    } else {
        onStep(std::get<StepMessage>(message), actions);
    }
    return actions;
}

void ExpertMapBase::onJoin(const JoinMessage &join, GroupActions &actions)
{
    if (join.sender == m_self || join.sender >= m_members.size() || join.members.size() != m_members.size()) {
        return;
    }
    m_fencingToken = std::max(m_fencingToken, join.fencingToken);
    const bool hasNewIncarnation = mergeMembers(join.members);
    const bool isComplete = join.members == m_members;
    if (isComplete && join.generation > m_generation) {
        startGeneration(join.generation, actions);
    } else if (hasNewIncarnation || (!isComplete && join.generation >= m_generation)) {
        // All members of a generation must agree on the incarnations, but one side lacks the newest one of some rank.
        startGeneration(std::max(join.generation, m_generation) + 1, actions);
    }
    if (join.generation != m_generation) {
        if (join.generation < m_generation) {
            sendAnswer(join.sender, actions);
        }
        return;
    }
    if (m_isFormed) {
        // The sender cannot form without the message of this rank and may have missed it.
        if (!join.isAnswer) {
            sendAnswer(join.sender, actions);
        }
        return;
    }
    // A delayed message without maps must not replace a later one with maps.
    auto &known = m_joins[join.sender];
    if (known.held.empty()) {
        known = join;
    }
    formIfComplete(actions);
}

/** Keeps the newest incarnation of each rank; returns whether @p members had any that was newer. */
bool ExpertMapBase::mergeMembers(const std::vector<RankIncarnation> &members)
{
    bool hasNewIncarnation = false;
    for (std::size_t r = 0; r < members.size(); ++r) {
        if (!(m_members[r] < members[r])) {
            continue;
        }
        hasNewIncarnation = true;
        if (r == m_self) {
            // An earlier incarnation of this rank has a later start time, since its clock was ahead.
            m_members[r].start = members[r].start + 1;
        } else {
            m_members[r] = members[r];
        }
    }
    return hasNewIncarnation;
}

void ExpertMapBase::startGeneration(std::uint64_t generation, GroupActions &actions)
{
    // Steps are numbered upwards from the number of the generation, so a new number must exceed every step run so far.
    // Peers are at most one step ahead of a rank that has formed. In a generation that this rank joined but did not
    // form, they can have run only the first step, since the second one needs a message of this rank.
    m_generation = std::max(generation, m_isFormed ? m_step + 2 : 0);
    // If every rank has lost its state, the start times still exceed all earlier step numbers.
    for (const auto &it : m_members) {
        m_generation = std::max(m_generation, it.start);
    }
    m_isFormed = false;
    m_reported.reset();
    m_joins.clear();
    m_reports.clear();
    m_sent.clear();
    sendJoin(actions);
}

void ExpertMapBase::sendJoin(GroupActions &actions)
{
    m_join = {m_self, m_generation, m_members, m_held, m_fencingToken};
    m_joins[m_self] = m_join;
    actions.messages.push_back({std::nullopt, m_join});
    formIfComplete(actions);
}

void ExpertMapBase::sendAnswer(RankIndex to, GroupActions &actions) const
{
    auto join = m_join;
    join.isAnswer = m_isFormed;
    actions.messages.push_back({to, join});
}

void ExpertMapBase::formIfComplete(GroupActions &actions)
{
    if (m_joins.size() < m_members.size()) {
        return;
    }
    if (const auto common = commonMaps(false); !common.empty()) {
        form(common.back(), actions);
        return;
    }
    const auto required = mapToLoad();
    if (required == noMap) {
        return;
    }
    if (!isHeld(required)) {
        requestLoad(required, actions);
    } else if (std::find(m_join.held.begin(), m_join.held.end(), required) == m_join.held.end()) {
        // A map that was loaded after joining is not in the join message, so a new generation is needed.
        startGeneration(m_generation + 1, actions);
    }
}

/** Maps that all joined ranks hold, in ascending order. With @p skipEmpty, ranks that hold no map are ignored. */
std::vector<MapVersion> ExpertMapBase::commonMaps(bool skipEmpty) const
{
    std::vector<MapVersion> common;
    bool isFirst = true;
    for (const auto &[rank, join] : m_joins) {
        if (skipEmpty && join.held.empty()) {
            continue;
        }
        std::vector<MapVersion> both;
        std::set_intersection(
            common.begin(), common.end(), join.held.begin(), join.held.end(), std::back_inserter(both));
        common = isFirst ? join.held : both;
        isFirst = false;
    }
    return common;
}

/** The map that ranks must load for the group to have a map in common. */
MapVersion ExpertMapBase::mapToLoad() const
{
    if (const auto common = commonMaps(true); !common.empty()) {
        return common.back();
    }
    MapVersion required = noMap;
    for (const auto &[rank, join] : m_joins) {
        required = join.held.empty() ? required : std::max(required, join.held.back());
    }
    return required;
}

void ExpertMapBase::requestLoad(const MapVersion &map, GroupActions &actions)
{
    if (m_loading != map) {
        m_loading = map;
        actions.load = map;
    }
}

void ExpertMapBase::form(const MapVersion &map, GroupActions &actions)
{
    m_isFormed = true;
    m_step = m_generation;
    m_isStepDone = false;
    m_inUse = map;
    dropUnusedMaps();
    actions.runStep = m_step;
}

GroupActions ExpertMapBase::onOrder(const PrepareOrder &order)
{
    GroupActions actions;
    if (order.fencingToken < m_fencingToken || order.map == noMap) {
        return actions;
    }
    m_fencingToken = order.fencingToken;
    // While the group re-forms, a rank that holds a map loads only the map that the group needs in common.
    const bool isLoadAllowed = m_isFormed || m_held.empty();
    const bool isLater = m_held.empty() || order.map.epoch > m_held.back().epoch;
    const bool isLoadingLater = m_loading && m_loading->epoch > order.map.epoch;
    if (isLoadAllowed && isLater && !isLoadingLater) {
        requestLoad(order.map, actions);
    }
    return actions;
}

GroupActions ExpertMapBase::onLoaded(const MapVersion &map)
{
    GroupActions actions;
    if (m_loading != map) {
        return actions;
    }
    m_loading.reset();
    m_held.insert(std::lower_bound(m_held.begin(), m_held.end(), map), map);
    if (m_isFormed) {
        dropUnusedMaps();
    } else if (m_join.held.empty()) {
        sendJoin(actions);
    } else {
        formIfComplete(actions);
    }
    return actions;
}

void ExpertMapBase::onLoadFailed(const MapVersion &map)
{
    if (m_loading == map) {
        m_loading.reset();
    }
}

GroupActions ExpertMapBase::onStepDone()
{
    GroupActions actions;
    if (!m_isFormed || m_isStepDone) {
        return actions;
    }
    m_isStepDone = true;
    m_reported = m_held.back();
    const StepMessage message{m_self, m_generation, m_step, m_held.back()};
    if (m_sent.size() == 2) {
        m_sent.erase(m_sent.begin());
    }
    m_sent.push_back(message);
    m_reports[m_step][m_self] = message.prepared;
    actions.messages.push_back({std::nullopt, message});
    advanceIfComplete(actions);
    return actions;
}

void ExpertMapBase::onStep(const StepMessage &message, GroupActions &actions)
{
    if (message.sender >= m_members.size() || message.generation < m_generation) {
        return;
    }
    if (message.generation > m_generation || !m_isFormed) {
        // The sender is ahead. Its answer to the join message of this rank lets this rank form.
        sendAnswer(message.sender, actions);
        return;
    }
    // A peer is at most one step ahead.
    if (message.step < m_step || message.step > m_step + 1) {
        return;
    }
    m_reports[message.step].emplace(message.sender, message.prepared);
    advanceIfComplete(actions);
}

void ExpertMapBase::advanceIfComplete(GroupActions &actions)
{
    const auto &reports = m_reports[m_step];
    if (!m_isStepDone || !isComplete(reports.size())) {
        return;
    }
    std::vector<MapVersion> reported;
    reported.reserve(reports.size());
    for (const auto &[rank, version] : reports) {
        reported.push_back(version);
    }
    m_inUse = nextMap(reported);
    m_reported.reset();
    dropUnusedMaps();
    m_reports.erase(m_step);
    ++m_step;
    m_isStepDone = false;
    actions.runStep = m_step;
}

GroupActions ExpertMapBase::onTick()
{
    GroupActions actions;
    if (!m_isFormed) {
        actions.messages.push_back({std::nullopt, m_join});
        formIfComplete(actions);
        return actions;
    }
    for (const auto &it : m_sent) {
        actions.messages.push_back({std::nullopt, it});
    }
    return actions;
}

/** Drops maps that neither this rank nor, to its knowledge, any peer can use in the next step. */
void ExpertMapBase::dropUnusedMaps()
{
    const auto newest = m_held.back();
    std::erase_if(m_held, [&](const MapVersion &it) {
        return it != newest && it != m_inUse && it != m_reported;
    });
}

bool ExpertMapBase::isHeld(const MapVersion &map) const
{
    return std::find(m_held.begin(), m_held.end(), map) != m_held.end();
}

} // namespace turmericline
