#include "map_switch.h"

#include <algorithm>

namespace turmericline {

MapSwitch::MapSwitch(const MapSwitchConfig &config,
                     TimePoint now,
                     std::uint64_t epoch,
                     std::size_t ranks,
                     MapNumber version,
                     MapPlan plan)
    : m_config(config)
    , m_startedAt(now)
    , m_epoch(epoch)
    , m_version(version)
    , m_plan(std::move(plan))
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
    it.m_pass = held;
    it.m_isHeld = true;
    it.m_phase = Phase::Arming;
    // Arm orders of the previous process may still be in flight.
    it.m_lastOpenArm = now;
    return it;
}

bool MapSwitch::all(bool Rank::*flag) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [flag](const Rank &it) {
        return it.*flag;
    });
}

bool MapSwitch::hasOpenArms() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank &it) {
        return it.openArms > 0;
    });
}

void MapSwitch::enter(Phase phase)
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
        if (n == holdingRank && m_phase == Phase::Holding) {
            m_isHeld = state.held == m_pass;
        }
    }
}

void MapSwitch::advance(TimePoint now, std::span<const std::optional<RankState>> states)
{
    const auto &holder = states[holdingRank];
    switch (m_phase) {
    case Phase::Preparing:
        if (all(&Rank::isPrepared)) {
            enter(Phase::Holding);
        } else if (now - m_startedAt > m_config.prepareTimeout) {
            m_reason = "not all ranks prepared the map before the timeout";
            m_phase = Phase::Abandoned;
        }
        break;
    case Phase::Holding:
        if (m_isHeld) {
            enter(Phase::Arming);
        } else if (holder && (m_pass == 0 || holder->pass >= m_pass)) {
            // A hold on a pass that has already begun can no longer take effect, so a later pass is chosen.
            m_pass = holder->pass + m_config.leadPasses;
            m_ranks[holdingRank].sentAt = TimePoint::min();
        }
        break;
    case Phase::Arming:
        if (all(&Rank::isArmed)) {
            enter(Phase::Releasing);
        } else if (std::any_of(m_ranks.begin(), m_ranks.end(), [](const Rank &it) {
                       return it.hasRefused && !it.isArmed;
                   })) {
            m_reason = "a rank refused an arm order";
            enter(Phase::Disarming);
        }
        break;
    case Phase::Disarming:
        if (all(&Rank::isDisarmed) && !hasOpenArms()
            && (!m_lastOpenArm || now - *m_lastOpenArm > m_config.lateOrderTime)) {
            enter(Phase::Releasing);
        }
        break;
    case Phase::Releasing:
        if (holder && (holder->pass >= m_pass || !holder->held)) {
            m_phase = m_reason.empty() ? Phase::Done : Phase::Abandoned;
        }
        break;
    case Phase::Done:
    case Phase::Abandoned:
        break;
    }
}

void MapSwitch::send(TimePoint now, std::uint32_t rank, RankOrderKind kind, Orders &orders)
{
    auto &it = m_ranks[rank];
    if (it.sentAt != TimePoint::min() && now - it.sentAt < m_config.resendTime) {
        return;
    }
    it.sentAt = now;
    it.openArms += kind == RankOrderKind::Arm ? 1 : 0;
    RankOrder order;
    order.kind = kind;
    order.epoch = m_epoch;
    order.version = m_version;
    order.pass = m_pass;
    if (kind == RankOrderKind::Prepare) {
        order.digest = digestOf(m_plan.map);
        if (it.needsWhole) {
            order.map = m_plan.map;
        } else {
            order.base = m_plan.base;
            order.changes = m_plan.changes;
        }
    }
    orders.emplace_back(rank, std::move(order));
}

std::vector<std::pair<std::uint32_t, RankOrder>> MapSwitch::poll(TimePoint now,
                                                                 std::span<const std::optional<RankState>> states)
{
    Orders orders;
    observe(now, states);
    if (!isEnded()) {
        advance(now, states);
    }
    for (std::uint32_t n = 0; n < m_ranks.size(); ++n) {
        const auto &rank = m_ranks[n];
        if (m_phase == Phase::Preparing && !rank.isPrepared && !rank.isPreparing) {
            send(now, n, RankOrderKind::Prepare, orders);
        } else if (m_phase == Phase::Holding && n == holdingRank && m_pass != 0) {
            send(now, n, RankOrderKind::Hold, orders);
        } else if (m_phase == Phase::Arming && !rank.isArmed) {
            send(now, n, RankOrderKind::Arm, orders);
        } else if (m_phase == Phase::Disarming && !rank.isDisarmed) {
            send(now, n, RankOrderKind::Disarm, orders);
        } else if (m_phase == Phase::Releasing && n == holdingRank) {
            send(now, n, RankOrderKind::Go, orders);
        }
    }
    return orders;
}

void MapSwitch::onAnswer(TimePoint now, std::uint32_t rank, const RankOrder &order, std::optional<OrderAnswer> answer)
{
    auto &it = m_ranks[rank];
    if (answer == OrderAnswer::BaseUnknown) {
        it.needsWhole = true;
        it.sentAt = TimePoint::min();
        return;
    }
    const bool isAccepted = answer == OrderAnswer::Accepted;
    if (!answer) {
        it.sentAt = TimePoint::min(); // Orders are idempotent, so the order can be repeated at once.
    }
    if (order.kind == RankOrderKind::Prepare) {
        it.isPreparing = isAccepted;
    } else if (order.kind == RankOrderKind::Arm) {
        --it.openArms;
        if (!answer) {
            m_lastOpenArm = now;
        } else if (m_phase == Phase::Arming) {
            it.isArmed = isAccepted || it.isArmed;
            it.hasRefused = !isAccepted;
        }
    } else if (order.kind == RankOrderKind::Hold && m_phase == Phase::Holding && order.pass == m_pass && answer) {
        m_isHeld = isAccepted;
    }
}

} // namespace turmericline
