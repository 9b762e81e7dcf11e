#pragma once

#include "map_delta.h"
#include "time_type.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace turmericline {

struct MapSwitchConfig
{
    std::chrono::milliseconds resendInterval{200}; ///< At which an order that has not taken effect is repeated.
    std::chrono::milliseconds prepareTimeout{8'000};
    PassNumber leadPasses = 2; ///< Number of passes from the last one begun to the held one.
    /** Longest time after which an order that got no answer may still be executed. */
    std::chrono::milliseconds maxOrderDelay{13'000};
};

/** A map to switch to, and its difference from the map in use. */
struct MapUpdate
{
    LayerMaps map;
    MapNumber base = 0; ///< Map to which the changes apply.
    std::vector<MapChange> changes;
};

/**
 * State machine that activates a new map on all ranks of a group in the same pass.
 *
 * Safety: all ranks must begin a pass with the same map. A hold keeps the group from beginning pass H. Ranks are armed
 * for H only while the hold is known to be active. The hold is released only when every rank is known to be armed, or
 * when no rank is armed and no arm order can still arrive. A rank refuses an arm order for H once H has begun, so late
 * orders are harmless. A new epoch of the group cancels the switch.
 *
 * Does no I/O and does not read the clock. Driven by the coordinator of the group.
 */
class MapSwitch
{
public:
    enum class Phase {
        Preparing,
        Holding,
        Arming,
        Disarming, ///< Entered when a rank refuses to be armed.
        Releasing,
        Done,
        Abandoned,
    };

    MapSwitch(const MapSwitchConfig &config,
              TimePoint now,
              std::uint64_t epoch,
              std::size_t ranks,
              MapNumber version,
              MapUpdate update);
    /** Continues the switch of a coordinator process that ended while pass @p held was on hold. */
    static MapSwitch resume(const MapSwitchConfig &config,
                            TimePoint now,
                            std::uint64_t epoch,
                            std::size_t ranks,
                            MapNumber version,
                            PassNumber held);

    /**
     * Returns the orders to send now. @p states: state that each rank has reported since the last
     * call; nothing for a rank that has not. States that were read before the current phase began must be left out,
     * since they do not show the effect of its orders.
     */
    std::vector<GroupOrder> poll(TimePoint now, std::span<const std::optional<RankState>> states);
    /** To be called once for each rank of each order. @p answer: nothing if the rank did not answer. */
    void
    onAnswer(TimePoint now, std::uint32_t rank, RankOrderKind kind, PassNumber pass, std::optional<OrderAnswer> answer);

    Phase phase() const
    {
        return m_phase;
    }

    bool isEnded() const
    {
        return m_phase == Phase::Done || m_phase == Phase::Abandoned;
    }

    MapNumber version() const
    {
        return m_version;
    }

    const LayerMaps &map() const
    {
        return m_update.map;
    }

    /** Reason for abandoning the switch. */
    const std::string &reason() const
    {
        return m_reason;
    }

private:
    struct Rank
    {
        bool isPrepared = false;
        bool hasAcceptedPrepare = false;
        bool needsFullMap = false; ///< Its agent does not have the base map, so the delta cannot be applied.
        bool isArmed = false;
        bool isDisarmed = false;
        std::uint32_t pendingOrders = 0; ///< Orders in flight; those to arm are counted in pendingArmOrders as well.
        std::uint32_t pendingArmOrders = 0;
        bool hasRefused = false; ///< Its last answer to an arm order was a refusal.
        TimePoint sentAt = TimePoint::min();
    };

    void observe(TimePoint now, std::span<const std::optional<RankState>> states);
    void advance(TimePoint now, std::span<const std::optional<RankState>> states);
    void enterPhase(Phase phase);
    std::optional<RankOrderKind> orderFor(std::uint32_t rank) const;
    bool isDue(TimePoint now, std::uint32_t rank) const;
    GroupOrder makeOrder(RankOrderKind kind, bool withFullMap) const;
    bool allRanks(bool Rank::*flag) const;
    bool hasPendingArmOrders() const;

    MapSwitchConfig m_config;
    TimePoint m_startedAt;
    std::uint64_t m_epoch;
    MapNumber m_version;
    MapUpdate m_update;
    std::uint64_t m_digest; ///< Of the map of m_update.
    std::vector<Rank> m_ranks;
    Phase m_phase = Phase::Preparing;
    PassNumber m_heldPass = 0; ///< Pass that is on hold.
    bool m_isHeld = false;
    std::optional<TimePoint> m_lastUnansweredArmAt; ///< When the last arm order failed without an answer.
    std::string m_reason;
};

} // namespace turmericline
