#include "map_switch.h"

#include <algorithm>
#include <array>

namespace turmericline {

MapSwitch::MapSwitch(const MapSwitchConfig &config,
                     TimePoint now,
                     std::uint64_t epoch,
                     std::size_t ranks,
                     MapNumber version,
                     MapUpdate update)
    : m_config(config)
    , m_startedAt(now)
    , m_epoch(epoch)
    , m_version(version)
    , m_update(std::move(update))
    , m_digest(mapDigest(m_update.map))
    , m_ranks(ranks)
{
}

MapSwitch MapSwitch::resume(const MapSwitchConfig &config,
                            TimePoint now,
                            std::uint64_t epoch,
                            std::size_t ranks,
                            MapNumber version,
                            PassNumber held)
{
    MapSwitch it(config, now, epoch, ranks, version, {});
    it.m_heldPass = held;
    it.m_isHeld = true;
    it.m_phase = Phase::Arming;
    // Arm orders of the previous process may still be in flight.
    it.m_lastUnansweredArmAt = now;
    return it;
}

bool MapSwitch::allRanks(bool Rank::*flag) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [flag](const Rank &it) {
        return it.*flag;
    });
}

bool MapSwitch::hasPendingArmOrders() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank &it) {
        return it.pendingArmOrders > 0;
    });
}

void MapSwitch::enterPhase(Phase phase)
{
    m_phase = phase;
    for (auto &it : m_ranks) {
        it.sentAt = TimePoint::min();
        it.isDisarmed = false;
    }
}

void MapSwitch::observe(TimePoint, std::span<const std::optional<RankState>> states)
{
    for (const auto &state : states) {
        if (state && state->epoch != m_epoch) {
            m_reason = "the group has a new epoch";
            m_phase = Phase::Abandoned;
            return;
        }
    }
    for (std::size_t n = 0; n < m_ranks.size() && n < states.size(); ++n) {
        if (!states[n]) {
            continue;
        }
        const auto &state = *states[n];
        auto &rank = m_ranks[n];
        rank.isPrepared = state.prepared == m_version || state.armed == m_version || state.map == m_version;
        // An armed rank stays armed until the pass begins, and then uses the map.
        rank.isArmed = state.armed == m_version || state.map == m_version;
        rank.isDisarmed = !state.armed;
        if (n == coordinatorRank && m_phase == Phase::Holding) {
            m_isHeld = state.held == m_heldPass;
        }
    }
}

void MapSwitch::advance(TimePoint now, std::span<const std::optional<RankState>> states)
{
    const auto &coordinatorState = states[coordinatorRank];
    switch (m_phase) {
    case Phase::Preparing:
        if (allRanks(&Rank::isPrepared)) {
            enterPhase(Phase::Holding);
        } else if (now - m_startedAt > m_config.prepareTimeout) {
            m_reason = "not all ranks prepared the map before the timeout";
            m_phase = Phase::Abandoned;
        }
        break;
    case Phase::Holding:
        if (m_isHeld) {
            enterPhase(Phase::Arming);
        } else if (coordinatorState && (m_heldPass == 0 || coordinatorState->pass >= m_heldPass)) {
            // A hold on a pass that has already begun can no longer take effect, so a later pass is chosen.
            m_heldPass = coordinatorState->pass + m_config.leadPasses;
            m_ranks[coordinatorRank].sentAt = TimePoint::min();
        }
        break;
    case Phase::Arming:
        if (allRanks(&Rank::isArmed)) {
            enterPhase(Phase::Releasing);
        } else if (std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank &it) {
                       return it.hasRefused && !it.isArmed;
                   })) {
            m_reason = "a rank refused an arm order";
            enterPhase(Phase::Disarming);
        }
        break;
    case Phase::Disarming:
        if (allRanks(&Rank::isDisarmed) && !hasPendingArmOrders()
            && (!m_lastUnansweredArmAt || now - *m_lastUnansweredArmAt > m_config.maxOrderDelay)) {
            enterPhase(Phase::Releasing);
        }
        break;
    case Phase::Releasing:
        if (coordinatorState && (coordinatorState->pass >= m_heldPass || !coordinatorState->held)) {
            m_phase = m_reason.empty() ? Phase::Done : Phase::Abandoned;
        }
        break;
    case Phase::Done:
    case Phase::Abandoned:
        break;
    }
}

/** Order that @p rank needs in the current phase. */
std::optional<RankOrderKind> MapSwitch::orderFor(std::uint32_t n) const
{
    const auto &rank = m_ranks[n];
    const bool isCoordinator = n == coordinatorRank;
    switch (m_phase) {
    case Phase::Preparing:
        return rank.isPrepared || rank.hasAcceptedPrepare ? std::nullopt : std::optional(RankOrderKind::Prepare);
    case Phase::Holding:
        return isCoordinator && m_heldPass != 0 ? std::optional(RankOrderKind::Hold) : std::nullopt;
    case Phase::Arming:
        return rank.isArmed ? std::nullopt : std::optional(RankOrderKind::Arm);
    case Phase::Disarming:
        return rank.isDisarmed ? std::nullopt : std::optional(RankOrderKind::Disarm);
    case Phase::Releasing:
        return isCoordinator ? std::optional(RankOrderKind::Go) : std::nullopt;
    case Phase::Done:
    case Phase::Abandoned:
        break;
    }
    return std::nullopt;
}

bool MapSwitch::isDue(TimePoint now, std::uint32_t n) const
{
    const auto &rank = m_ranks[n];
    // A map takes long to send over a slow link; a copy of the order behind it would only delay the others.
    const bool isOnTheWay = m_phase == Phase::Preparing && rank.pendingOrders > 0;
    return !isOnTheWay && (rank.sentAt == TimePoint::min() || now - rank.sentAt >= m_config.resendInterval);
}

GroupOrder MapSwitch::makeOrder(RankOrderKind kind, bool withFullMap) const
{
    GroupOrder group;
    auto &order = group.order;
    order.kind = kind;
    order.epoch = m_epoch;
    order.version = m_version;
    order.pass = m_heldPass;
    if (kind == RankOrderKind::Prepare) {
        order.digest = m_digest;
        if (withFullMap) {
            order.map = m_update.map;
        } else {
            order.base = m_update.base;
            order.changes = m_update.changes;
        }
    }
    return group;
}

std::vector<GroupOrder> MapSwitch::poll(TimePoint now, std::span<const std::optional<RankState>> states)
{
    observe(now, states);
    if (!isEnded()) {
        advance(now, states);
    }
    // All ranks that need an order in a phase need the same one, apart from those that need the full map.
    std::array<std::optional<GroupOrder>, 2> orders;
    for (std::uint32_t n = 0; n < m_ranks.size(); ++n) {
        const auto kind = orderFor(n);
        if (!kind || !isDue(now, n)) {
            continue;
        }
        auto &rank = m_ranks[n];
        rank.sentAt = now;
        ++rank.pendingOrders;
        rank.pendingArmOrders += kind == RankOrderKind::Arm ? 1 : 0;
        const bool withFullMap = kind == RankOrderKind::Prepare && rank.needsFullMap;
        auto &group = orders[withFullMap ? 1 : 0];
        if (!group) {
            group = makeOrder(*kind, withFullMap);
        }
        group->ranks.push_back(n);
    }
    std::vector<GroupOrder> due;
    for (auto &it : orders) {
        if (it) {
            due.push_back(std::move(*it));
        }
    }
    return due;
}

void MapSwitch::onAnswer(
    TimePoint now, std::uint32_t rank, RankOrderKind kind, PassNumber pass, std::optional<OrderAnswer> answer)
{
    auto &it = m_ranks[rank];
    --it.pendingOrders;
    if (answer == OrderAnswer::BaseUnknown) {
        it.needsFullMap = true;
        it.sentAt = TimePoint::min();
        return;
    }
    const bool isAccepted = answer == OrderAnswer::Accepted;
    if (!answer) {
        it.sentAt = TimePoint::min(); // Orders are idempotent, so the order can be repeated at once.
    }
    if (kind == RankOrderKind::Prepare) {
        it.hasAcceptedPrepare = isAccepted;
    } else if (kind == RankOrderKind::Arm) {
        --it.pendingArmOrders;
        if (!answer) {
            m_lastUnansweredArmAt = now;
        } else if (m_phase == Phase::Arming) {
            it.isArmed = isAccepted || it.isArmed;
            it.hasRefused = !isAccepted;
        }
    } else if (kind == RankOrderKind::Hold && m_phase == Phase::Holding && pass == m_heldPass && answer) {
        m_isHeld = isAccepted;
    }
}

} // namespace turmericline
