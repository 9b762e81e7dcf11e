#include "group_coordinator.h"

#include "log.h"

#include <algorithm>
#include <cmath>

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** Interval of queries for counts: about one pass. */
constexpr std::chrono::milliseconds choicesPeriod{100};
/** Interval of queries for states during a switch. */
constexpr std::chrono::milliseconds switchAskPeriod{20};
constexpr std::chrono::milliseconds considerPeriod{20};
/** How long the ranks of a block are queried one by one after a missing or incomplete answer. */
constexpr std::chrono::milliseconds directTime{1'000};
/** States older than this are not used for a decision. */
constexpr std::chrono::milliseconds stateLifetime{1'000};
/** Loads older than this are not reported to gateways. */
constexpr std::chrono::milliseconds loadLifetime{400};
constexpr std::chrono::milliseconds abandonPause{1'000};
/** The digits below this are random, so that coordinators that choose a map number concurrently get different ones. */
constexpr MapNumber numberStride = 1'000'000;

} // namespace

GroupCoordinator::GroupCoordinator(const ExpertBalancerConfig &config,
                                   const ExpertLayout &layout,
                                   std::size_t ranks,
                                   GroupLink link,
                                   std::mt19937_64 &random)
    : m_layout(layout)
    , m_link(std::move(link))
    , m_random(random)
    , m_balancer(config, layout, ranks)
    , m_states(ranks)
{
    const auto width = std::min<std::uint32_t>(
        maxRanksOfQuestion, static_cast<std::uint32_t>(std::ceil(std::sqrt(static_cast<double>(ranks)))));
    for (std::uint32_t n = 0; n < ranks; n += width) {
        m_blocks.push_back({n, std::min(width, static_cast<std::uint32_t>(ranks) - n)});
    }
    for (std::uint32_t n = 0; n < ranks; ++n) {
        m_singles.push_back({n});
    }
}

void GroupCoordinator::tick(TimePoint now)
{
    m_now = now;
    if (now >= m_askAt) {
        m_askAt = now + (m_switch ? switchAskPeriod : choicesPeriod);
        ask(now);
    }
    if (m_switch) {
        driveSwitch(now);
    } else if (now >= m_considerAt) {
        m_considerAt = now + considerPeriod;
        considerSwitch(now);
    }
}

void GroupCoordinator::ask(TimePoint now)
{
    for (auto &block : m_blocks) {
        if (now >= block.directUntil) {
            ask(now, block);
            continue;
        }
        for (std::uint32_t n = 0; n < block.count; ++n) {
            ask(now, m_singles[block.first + n]);
        }
    }
}

void GroupCoordinator::ask(TimePoint now, Inquiry &inquiry)
{
    if (inquiry.isAsked) {
        return;
    }
    inquiry.isAsked = true;
    inquiry.phase = m_phaseCount;
    RankQuestion question;
    question.first = inquiry.first;
    question.count = inquiry.count;
    question.withHeld = m_needsHeld;
    question.withChoices = now >= inquiry.choicesAt;
    if (question.withChoices) {
        inquiry.choicesAt = now + choicesPeriod;
    }
    // The reference stays valid: m_blocks and m_singles do not change after construction.
    m_link.askNews(question,
                   [this, &inquiry, question, life = std::weak_ptr<int>(m_life)](std::optional<GroupNews> news) {
                       if (!life.expired()) {
                           onNews(inquiry, question, std::move(news));
                       }
                   });
}

void GroupCoordinator::onNews(Inquiry &inquiry, const RankQuestion &question, std::optional<GroupNews> news)
{
    inquiry.isAsked = false;
    if (!news || news->ranks.size() < question.count) {
        inquiry.directUntil = m_now + directTime;
    }
    if (!news) {
        return;
    }
    for (auto &it : news->ranks) {
        learnRank(m_now, std::move(it), inquiry.phase == m_phaseCount);
    }
    if (!news->choices.empty()) {
        m_balancer.observe(m_now, news->choices);
    }
    if (m_switch) {
        driveSwitch(m_now);
    }
}

/** @p isEvidence: the query was sent in the current phase of the switch, so the state reflects its orders. */
void GroupCoordinator::learnRank(TimePoint now, RankNews news, bool isEvidence)
{
    if (news.state.rank >= m_states.size()) {
        return;
    }
    if (news.state.epoch > m_epoch) {
        m_epoch = news.state.epoch;
        m_mapNumber.reset();
    }
    auto &member = m_states[news.state.rank];
    member.state = std::move(news.state);
    member.at = now;
    member.held = std::move(news.held);
    member.isNew = isEvidence;
    member.isStale = member.isStale && !isEvidence;
}

GroupLoads GroupCoordinator::loads() const
{
    GroupLoads loads;
    for (const auto &it : m_states) {
        const bool isFresh = it.state && m_now - it.at < loadLifetime;
        loads.ranks.push_back(isFresh ? std::optional(BackendLoad{it.state->running, it.state->waiting, it.state->pace})
                                      : std::nullopt);
        if (it.state) {
            loads.group = it.state->group;
        }
    }
    return loads;
}

void GroupCoordinator::driveSwitch(TimePoint now)
{
    std::vector<std::optional<RankState>> fresh(m_states.size());
    for (std::size_t n = 0; n < m_states.size(); ++n) {
        if (std::exchange(m_states[n].isNew, false)) {
            fresh[n] = m_states[n].state;
        }
    }
    const auto before = m_switch->phase();
    const auto orders = m_switch->poll(now, fresh);
    if (m_switch->phase() != before) {
        ++m_phaseCount;
        m_askAt = now;
        logEvent(LogLevel::Debug,
                 "map switch entered a new phase",
                 {{"map", m_switch->version()}, {"phase", static_cast<int>(m_switch->phase())}});
    }
    for (const auto &[rank, order] : orders) {
        m_link.sendOrder(
            rank,
            order,
            [this, n = rank, sent = order, life = std::weak_ptr<int>(m_life)](std::optional<OrderAnswer> answer) {
                if (life.expired() || !m_switch || m_switch->version() != sent.version) {
                    return;
                }
                m_switch->onAnswer(m_now, n, sent, answer);
                driveSwitch(m_now);
            });
    }
    if (m_switch->isEnded()) {
        endSwitch(now);
    }
}

void GroupCoordinator::endSwitch(TimePoint now)
{
    const bool isDone = m_switch->phase() == MapSwitch::Phase::Done;
    logEvent(isDone ? LogLevel::Info : LogLevel::Warning,
             isDone ? "expert map in use" : "expert map abandoned",
             {{"map", m_switch->version()},
              {"epoch", m_epoch},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - m_switchAt).count()},
              {"reason", m_switch->reason()}});
    if (isDone && !m_switch->map().empty()) {
        m_map = m_switch->map();
        m_mapNumber = m_switch->version();
        // The states reported so far do not show the new map.
        for (auto &it : m_states) {
            it.isStale = true;
        }
        m_askAt = now;
    } else {
        m_mapNumber.reset();
        m_considerAt = now + abandonPause;
    }
    m_switch.reset();
}

bool GroupCoordinator::isSettled(TimePoint now) const
{
    return std::all_of(m_states.begin(), m_states.end(), [this, now](const Member &it) {
        return it.state && !it.isStale && now - it.at < stateLifetime && it.state->epoch == m_epoch && it.state->isOpen
               && it.state->size == m_states.size();
    });
}

bool GroupCoordinator::learnMap()
{
    const auto number = m_states.front().state->map;
    const bool isSame = std::all_of(m_states.begin(), m_states.end(), [number](const Member &it) {
        return it.state->map == number;
    });
    if (!isSame) {
        return false;
    }
    if (number == 0) {
        m_map = initialMap(m_layout.layers, m_layout.experts, m_states.size());
        m_mapNumber = 0;
        return true;
    }
    m_needsHeld = true;
    LayerMaps map(m_layout.layers, ExpertMap(m_states.size()));
    for (std::size_t r = 0; r < m_states.size(); ++r) {
        if (m_states[r].held.size() != m_layout.layers) {
            return false;
        }
        for (std::size_t l = 0; l < m_layout.layers; ++l) {
            map[l][r] = m_states[r].held[l];
            std::sort(map[l][r].begin(), map[l][r].end());
        }
    }
    m_map = std::move(map);
    m_mapNumber = number;
    m_needsHeld = false;
    return true;
}

MapNumber GroupCoordinator::nextNumber()
{
    MapNumber largest = 0;
    for (const auto &it : m_states) {
        largest = std::max({largest, it.state->map, it.state->prepared.value_or(0), it.state->armed.value_or(0)});
    }
    return (largest / numberStride + 1) * numberStride
           + std::uniform_int_distribution<MapNumber>(0, numberStride - 1)(m_random);
}

void GroupCoordinator::resumeSwitch(TimePoint now)
{
    const auto held = *m_states[coordinatorRank].state->held;
    std::optional<MapNumber> number;
    for (const auto &it : m_states) {
        number = number ? number : it.state->armed;
    }
    const auto prepared = m_states.front().state->prepared;
    const bool isPreparedByAll = std::all_of(m_states.begin(), m_states.end(), [prepared](const Member &it) {
        return prepared && it.state->prepared == prepared && it.state->map != prepared;
    });
    if (!number && isPreparedByAll) {
        number = prepared;
    }
    // If no map can have been armed, the map in use is passed, so that the switch only releases the hold.
    m_switch = MapSwitch::resume({}, now, m_epoch, m_states.size(), number.value_or(m_states.front().state->map), held);
    m_switchAt = now;
    ++m_phaseCount;
    for (auto &it : m_states) {
        it.isNew = false;
    }
    logEvent(LogLevel::Warning, "resuming an interrupted map switch", {{"pass", held}, {"map", m_switch->version()}});
}

void GroupCoordinator::considerSwitch(TimePoint now)
{
    if (!isSettled(now)) {
        return;
    }
    if (m_states[coordinatorRank].state->held) {
        resumeSwitch(now);
        return;
    }
    const bool isArmed = std::any_of(m_states.begin(), m_states.end(), [](const Member &it) {
        return it.state->armed.has_value();
    });
    if (isArmed) {
        return; // The group is idle and will switch to the armed map in its next pass.
    }
    if (m_mapNumber != m_states.front().state->map && !learnMap()) {
        return;
    }
    std::vector<double> paces;
    for (const auto &it : m_states) {
        paces.push_back(it.state->pace);
    }
    m_balancer.setPaces(std::move(paces));
    auto proposal = m_balancer.propose(now, m_map);
    if (!proposal) {
        return;
    }
    const auto number = nextNumber();
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
    m_switch.emplace(MapSwitchConfig{}, now, m_epoch, m_states.size(), number, std::move(update));
    m_switchAt = now;
    ++m_phaseCount;
    for (auto &it : m_states) {
        it.isNew = false;
    }
    driveSwitch(now);
}

} // namespace turmericline
