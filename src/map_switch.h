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
    std::chrono::milliseconds resendTime{200}; ///< After which an order without effect is sent again.
    std::chrono::milliseconds prepareTimeout{8'000};
    PassNumber leadPasses = 2; ///< Passes between the last one begun and the one that is held.
    /** An order without an answer may still be carried out for this long. */
    std::chrono::milliseconds lateOrderTime{13'000};
};

/** A map to switch to, and how it comes out of the one in use. */
struct MapPlan
{
    LayerMaps map;
    MapNumber base = 0; ///< Map that changes.
    std::vector<MapChange> changes;
};

/**
 * Takes one new map into use on all ranks of a group, in one pass.
 *
 * Safety: no pass may begin with two maps. A hold keeps the group from beginning pass H; ranks are armed for H only
 * while the hold is known to be in force; the hold ends only when every rank is known to be armed, or when no rank is
 * armed and no order to arm can still arrive. An order to arm for H that is carried out after H has begun is refused by
 * its rank, so orders that arrive late do no harm. A new epoch of the group voids all of it.
 *
 * Holds no socket and reads no clock; one coordinator per group runs it.
 */
class MapSwitch
{
public:
    enum class Phase {
        Preparing,
        Holding,
        Arming,
        Disarming, ///< A rank cannot be armed.
        Releasing,
        Done,
        Abandoned,
    };

    MapSwitch(const MapSwitchConfig &config,
              TimePoint now,
              std::uint64_t epoch,
              std::size_t ranks,
              MapNumber version,
              MapPlan plan);
    /** Goes on with a switch that another process left with a hold on pass @p held. */
    static MapSwitch resume(const MapSwitchConfig &config,
                            TimePoint now,
                            std::uint64_t epoch,
                            std::size_t ranks,
                            MapNumber version,
                            PassNumber held);

    /**
     * Orders to send now, by rank. @p states: what each rank stated since the last call; nothing if it did not. What was
     * read before the present phase began must be left out: it does not show what the orders since have done.
     */
    std::vector<std::pair<std::uint32_t, RankOrder>> poll(TimePoint now,
                                                          std::span<const std::optional<RankState>> states);
    /** @p answer: nothing if none came. */
    void onAnswer(TimePoint now, std::uint32_t rank, const RankOrder &order, std::optional<OrderAnswer> answer);

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
        return m_plan.map;
    }

    /** Why it was abandoned. */
    const std::string &reason() const
    {
        return m_reason;
    }

private:
    struct Rank
    {
        bool isPrepared = false;
        bool isPreparing = false; ///< It accepted the order to prepare.
        bool needsWhole = false; ///< Its agent does not know the map that changes.
        bool isArmed = false;
        bool isDisarmed = false;
        std::uint32_t openArms = 0; ///< Orders to arm that are not answered yet.
        bool hasRefused = false; ///< The last answer to an order to arm was a refusal.
        TimePoint sentAt = TimePoint::min();
    };

    using Orders = std::vector<std::pair<std::uint32_t, RankOrder>>;

    void observe(TimePoint now, std::span<const std::optional<RankState>> states);
    void advance(TimePoint now, std::span<const std::optional<RankState>> states);
    void enter(Phase phase);
    void send(TimePoint now, std::uint32_t rank, RankOrderKind kind, Orders &orders);
    bool all(bool Rank::*flag) const;
    bool hasOpenArms() const;

    MapSwitchConfig m_config;
    TimePoint m_startedAt;
    std::uint64_t m_epoch;
    MapNumber m_version;
    MapPlan m_plan;
    std::vector<Rank> m_ranks;
    Phase m_phase = Phase::Preparing;
    PassNumber m_pass = 0; ///< The one that is held.
    bool m_isHeld = false;
    std::optional<TimePoint> m_lastOpenArm; ///< Last order to arm that got no answer.
    std::string m_reason;
};

} // namespace turmericline
