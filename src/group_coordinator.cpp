#include "group_coordinator.h"

#include "log.h"

#include <algorithm>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Shortest interval of queries for counts: about one pass. */
constexpr std::chrono::milliseconds minChoicesPeriod{100};
/** Interval of queries for states and of the loads in them. */
constexpr std::chrono::milliseconds queryPeriod{100};
/** Shortest interval of queries for states during a switch. */
constexpr std::chrono::milliseconds minSwitchQueryPeriod{20};
/** Shares of the link for the answers to queries for counts, and for those for states during a switch. */
constexpr double choicesShare = 0.35;
constexpr double statesShare = 0.25;
/** Bytes of a report: heads of a request and its answer, each rank, each count. */
constexpr std::size_t bytesPerReport = 400;
constexpr std::size_t bytesPerRank = 8;
constexpr std::size_t bytesPerCount = 1;
constexpr std::chrono::milliseconds proposalPeriod{20};
/** How long the ranks of a block are called one by one after its first agent gave no answer. */
constexpr std::chrono::milliseconds singleCallTime{1'000};
/** States older than this are not used for a decision. */
constexpr std::chrono::milliseconds stateLifetime{1'000};
/** Loads older than this are not reported to gateways. */
constexpr std::chrono::milliseconds loadLifetime{400};
constexpr std::chrono::milliseconds abandonBackoff{1'000};
/** The digits below this are random, so that coordinators that choose a map number concurrently get different ones. */
constexpr MapNumber numberStride = 1'000'000;

} // namespace

GroupCoordinator::GroupCoordinator(const GroupCoordinatorConfig &config,
                                   const ExpertLayout &layout,
                                   std::size_t ranks,
                                   GroupLink link,
                                   std::mt19937_64 &random)
    : m_layout(layout)
    , m_linkBudget(config.link)
    , m_link(std::move(link))
    , m_random(random)
    , m_balancer(config.balancer, layout, ranks)
    , m_lastReports(ranks)
{
    const auto width = ranksPerBlock(ranks);
    for (std::uint32_t n = 0; n < ranks; n += width) {
        m_blocks.push_back({n, std::min(width, static_cast<std::uint32_t>(ranks) - n)});
        m_blocks.back().carriesLoads = true;
    }
    for (std::uint32_t n = 0; n < ranks; ++n) {
        m_singleRanks.push_back({n});
    }
}

void GroupCoordinator::tick(TimePoint now)
{
    m_now = now;
    if (now >= m_nextQueryAt) {
        sendQueries(now);
    }
    if (m_switch) {
        advanceSwitch(now);
    } else if (now >= m_nextProposalAt) {
        m_nextProposalAt = now + proposalPeriod;
        startOrResumeSwitch(now);
    }
}

/** Returns the blocks, or the single ranks of those whose first agent does not answer. */
std::vector<GroupCoordinator::QueryTarget *> GroupCoordinator::queryTargets(TimePoint now)
{
    std::vector<QueryTarget *> targets;
    for (auto &block : m_blocks) {
        if (now >= block.callRanksSinglyUntil) {
            targets.push_back(&block);
            continue;
        }
        for (std::uint32_t n = 0; n < block.count; ++n) {
            targets.push_back(&m_singleRanks[block.first + n]);
        }
    }
    return targets;
}

/** The times of the next queries follow from the size of the answers to these, which depends on how many there are. */
void GroupCoordinator::sendQueries(TimePoint now)
{
    const auto targets = queryTargets(now);
    const bool withChoices = now >= m_nextChoicesAt && !isOrderUrgent();
    for (auto *it : targets) {
        sendQuery(now, *it, withChoices);
    }
    const auto stateBytes = targets.size() * bytesPerReport + m_lastReports.size() * bytesPerRank;
    const auto countBytes = targets.size() * m_layout.layers * m_layout.experts * bytesPerCount;
    m_nextQueryAt
        = now + std::max(m_switch ? minSwitchQueryPeriod : queryPeriod, m_linkBudget.period(stateBytes, statesShare));
    if (withChoices) {
        m_nextChoicesAt = now + std::max(minChoicesPeriod, m_linkBudget.period(stateBytes + countBytes, choicesShare));
    }
}

void GroupCoordinator::sendQuery(TimePoint now, QueryTarget &target, bool withChoices)
{
    if (target.isQueryPending) {
        return;
    }
    target.isQueryPending = true;
    target.phase = m_phaseCount;
    RankQuery query;
    query.first = target.first;
    query.count = target.count;
    query.withHeld = m_needsHeldExperts;
    query.withChoices = withChoices;
    if (target.carriesLoads && now >= target.nextLoadsAt) {
        target.nextLoadsAt = now + queryPeriod;
        query.loads = loads();
    }
    // The reference stays valid: m_blocks and m_singleRanks do not change after construction.
    m_link.queryRanks(query,
                      [this, &target, life = std::weak_ptr<int>(m_aliveToken)](std::optional<GroupReport> report) {
                          if (!life.expired()) {
                              onGroupReport(target, std::move(report));
                          }
                      });
}

/** The group is on hold, or is about to be: the orders that end the hold must not wait behind counts. */
bool GroupCoordinator::isOrderUrgent() const
{
    return m_switch && m_switch->phase() != MapSwitch::Phase::Preparing;
}

void GroupCoordinator::onGroupReport(QueryTarget &target, std::optional<GroupReport> report)
{
    target.isQueryPending = false;
    if (!report) {
        target.callRanksSinglyUntil = m_now + singleCallTime;
        return;
    }
    for (auto &it : report->ranks) {
        updateRank(m_now, std::move(it), target.phase == m_phaseCount);
    }
    if (!report->choices.empty()) {
        m_balancer.observe(m_now, report->choices);
        m_isProposalDue = true;
    }
    if (m_switch) {
        advanceSwitch(m_now);
    }
}

/** @p isFromCurrentPhase: the query was sent in the current phase of the switch, so the state reflects its orders. */
void GroupCoordinator::updateRank(TimePoint now, RankReport report, bool isFromCurrentPhase)
{
    if (report.state.rank >= m_lastReports.size()) {
        return;
    }
    if (report.state.epoch > m_epoch) {
        m_epoch = report.state.epoch;
        m_mapNumber.reset();
    }
    auto &lastReport = m_lastReports[report.state.rank];
    lastReport.state = std::move(report.state);
    lastReport.receivedAt = now;
    lastReport.held = std::move(report.held);
    lastReport.isNew = isFromCurrentPhase;
    lastReport.isStale = lastReport.isStale && !isFromCurrentPhase;
}

std::optional<GroupLoads> GroupCoordinator::loads() const
{
    GroupLoads loads;
    for (const auto &it : m_lastReports) {
        const auto age = m_now - it.receivedAt;
        if (!it.state || age >= loadLifetime) {
            loads.ranks.emplace_back();
            continue;
        }
        loads.ranks.emplace_back(BackendLoad{it.state->running, it.state->waiting, it.state->pace});
        loads.group = it.state->group;
        loads.age = std::max(loads.age, std::chrono::ceil<std::chrono::milliseconds>(age));
    }
    return loads.group.empty() ? std::nullopt : std::optional(std::move(loads));
}

void GroupCoordinator::advanceSwitch(TimePoint now)
{
    std::vector<std::optional<RankState>> fresh(m_lastReports.size());
    for (std::size_t n = 0; n < m_lastReports.size(); ++n) {
        if (std::exchange(m_lastReports[n].isNew, false)) {
            fresh[n] = m_lastReports[n].state;
        }
    }
    const auto before = m_switch->phase();
    const auto orders = m_switch->poll(now, fresh);
    if (m_switch->phase() != before) {
        ++m_phaseCount;
        m_nextQueryAt = now;
        logEvent(LogLevel::Debug,
                 "map switch entered a new phase",
                 {{"map", m_switch->version()}, {"phase", static_cast<int>(m_switch->phase())}});
    }
    for (const auto &it : orders) {
        sendOrder(it);
    }
    if (m_switch->isEnded()) {
        endSwitch(now);
    }
}

GroupCoordinator::QueryTarget &GroupCoordinator::blockOf(std::uint32_t rank)
{
    return m_blocks[rank / m_blocks.front().count];
}

/** Splits the ranks of @p order into blocks. */
void GroupCoordinator::sendOrder(const GroupOrder &order)
{
    GroupOrder part{{}, order.order};
    for (const auto it : order.ranks) {
        const bool isSingle = m_now < blockOf(it).callRanksSinglyUntil;
        const bool isNewBlock = !part.ranks.empty() && &blockOf(part.ranks.front()) != &blockOf(it);
        if (!part.ranks.empty() && (isSingle || isNewBlock)) {
            sendToBlock(part);
            part.ranks.clear();
        }
        part.ranks.push_back(it);
    }
    if (!part.ranks.empty()) {
        sendToBlock(part);
    }
}

void GroupCoordinator::sendToBlock(const GroupOrder &order)
{
    // The answer is matched by these; the map is not needed for that.
    GroupOrder sent{order.ranks, {}};
    sent.order.kind = order.order.kind;
    sent.order.version = order.order.version;
    sent.order.pass = order.order.pass;
    m_link.sendOrder(
        order, [this, sent = std::move(sent), life = std::weak_ptr<int>(m_aliveToken)](const OrderAnswers &answers) {
            if (!life.expired()) {
                onOrderAnswers(sent, answers);
            }
        });
}

void GroupCoordinator::onOrderAnswers(const GroupOrder &order, const OrderAnswers &answers)
{
    if (!m_switch || m_switch->version() != order.order.version) {
        return;
    }
    if (answers.empty()) {
        blockOf(order.ranks.front()).callRanksSinglyUntil = m_now + singleCallTime;
    }
    for (std::size_t n = 0; n < order.ranks.size(); ++n) {
        const auto answer = n < answers.size() ? answers[n] : std::nullopt;
        m_switch->onAnswer(m_now, order.ranks[n], order.order.kind, order.order.pass, answer);
    }
    advanceSwitch(m_now);
}

void GroupCoordinator::endSwitch(TimePoint now)
{
    const bool isDone = m_switch->phase() == MapSwitch::Phase::Done;
    logEvent(isDone ? LogLevel::Info : LogLevel::Warning,
             isDone ? "expert map in use" : "expert map abandoned",
             {{"map", m_switch->version()},
              {"epoch", m_epoch},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_switchStartedAt).count()},
              {"reason", m_switch->reason()}});
    if (isDone && !m_switch->map().empty()) {
        m_map = m_switch->map();
        m_mapNumber = m_switch->version();
        // The states reported so far do not show the new map.
        for (auto &it : m_lastReports) {
            it.isStale = true;
        }
        m_nextQueryAt = now;
    } else {
        m_mapNumber.reset();
        m_nextProposalAt = now + abandonBackoff;
    }
    m_switch.reset();
    m_isProposalDue = true;
}

bool GroupCoordinator::areStatesCurrent(TimePoint now) const
{
    return std::all_of(m_lastReports.begin(), m_lastReports.end(), [this, now](const LastReport &it) {
        return it.state && !it.isStale && now - it.receivedAt < stateLifetime && it.state->epoch == m_epoch
               && it.state->isOpen && it.state->size == m_lastReports.size();
    });
}

bool GroupCoordinator::updateCurrentMap()
{
    const auto number = m_lastReports.front().state->map;
    const bool isSame = std::all_of(m_lastReports.begin(), m_lastReports.end(), [number](const LastReport &it) {
        return it.state->map == number;
    });
    if (!isSame) {
        return false;
    }
    if (number == 0) {
        m_map = initialMap(m_layout.layers, m_layout.experts, m_lastReports.size());
        m_mapNumber = 0;
        return true;
    }
    m_needsHeldExperts = true;
    LayerMaps map(m_layout.layers, ExpertMap(m_lastReports.size()));
    for (std::size_t r = 0; r < m_lastReports.size(); ++r) {
        if (m_lastReports[r].held.size() != m_layout.layers) {
            return false;
        }
        for (std::size_t l = 0; l < m_layout.layers; ++l) {
            map[l][r] = m_lastReports[r].held[l];
            std::sort(map[l][r].begin(), map[l][r].end());
        }
    }
    m_map = std::move(map);
    m_mapNumber = number;
    m_needsHeldExperts = false;
    return true;
}

MapNumber GroupCoordinator::nextMapNumber()
{
    MapNumber largest = 0;
    for (const auto &it : m_lastReports) {
        largest = std::max({largest, it.state->map, it.state->prepared.value_or(0), it.state->armed.value_or(0)});
    }
    return (largest / numberStride + 1) * numberStride
           + std::uniform_int_distribution<MapNumber>(0, numberStride - 1)(m_random);
}

void GroupCoordinator::resumeSwitch(TimePoint now)
{
    const auto held = *m_lastReports[coordinatorRank].state->held;
    std::optional<MapNumber> number;
    for (const auto &it : m_lastReports) {
        number = number ? number : it.state->armed;
    }
    const auto prepared = m_lastReports.front().state->prepared;
    const bool isPreparedByAll
        = std::all_of(m_lastReports.begin(), m_lastReports.end(), [prepared](const LastReport &it) {
              return prepared && it.state->prepared == prepared && it.state->map != prepared;
          });
    if (!number && isPreparedByAll) {
        number = prepared;
    }
    // If no map can have been armed, the map in use is passed, so that the switch only releases the hold.
    m_switch = MapSwitch::resume(
        {}, now, m_epoch, m_lastReports.size(), number.value_or(m_lastReports.front().state->map), held);
    m_switchStartedAt = now;
    ++m_phaseCount;
    for (auto &it : m_lastReports) {
        it.isNew = false;
    }
    logEvent(LogLevel::Warning, "resuming an interrupted map switch", {{"pass", held}, {"map", m_switch->version()}});
}

void GroupCoordinator::startOrResumeSwitch(TimePoint now)
{
    if (!areStatesCurrent(now)) {
        return;
    }
    if (m_lastReports[coordinatorRank].state->held) {
        resumeSwitch(now);
        return;
    }
    const bool isArmed = std::any_of(m_lastReports.begin(), m_lastReports.end(), [](const LastReport &it) {
        return it.state->armed.has_value();
    });
    if (isArmed) {
        return; // The group is idle and will switch to the armed map in its next pass.
    }
    if (m_mapNumber != m_lastReports.front().state->map && !updateCurrentMap()) {
        return;
    }
    if (!std::exchange(m_isProposalDue, false)) {
        return;
    }
    std::vector<double> slowdowns;
    for (const auto &it : m_lastReports) {
        slowdowns.push_back(it.state->pace);
    }
    m_balancer.setSlowdowns(std::move(slowdowns));
    auto proposal = m_balancer.propose(now, m_map);
    if (!proposal) {
        return;
    }
    const auto number = nextMapNumber();
    logEvent(LogLevel::Info,
             "expert map proposed",
             {{"map", number},
              {"replaces", *m_mapNumber},
              {"epoch", m_epoch},
              {"moves", proposal->moves},
              {"skew_before", proposal->skewBefore},
              {"skew_after", proposal->skewAfter}});
    MapUpdate update{std::move(proposal->map), *m_mapNumber, {}};
    update.changes = mapChanges(m_map, update.map);
    m_switch.emplace(MapSwitchConfig{}, now, m_epoch, m_lastReports.size(), number, std::move(update));
    m_switchStartedAt = now;
    ++m_phaseCount;
    for (auto &it : m_lastReports) {
        it.isNew = false;
    }
    advanceSwitch(now);
}

} // namespace turmericline
