#pragma once

#include "expert_map_type.h"

#include <concepts>
#include <map>
#include <span>

namespace turmericline {

/** Policy that chooses the map of the next step from the map in use and the versions that ranks report as prepared. */
template<typename Rule>
concept SwitchRule = requires(const MapVersion &inUse, std::span<const MapVersion> reported, RankIndex self)
{
    {
        Rule::isComplete(reported.size(), reported.size())
        } -> std::same_as<bool>;
    {
        Rule::next(inUse, reported, self)
        } -> std::same_as<MapVersion>;
};

/** Switches only if every rank reports the same later version. All ranks see the same reports, so they all agree. */
struct UnanimousSwitch
{
    static bool isComplete(std::size_t reports, std::size_t ranks);
    static MapVersion next(const MapVersion &inUse, std::span<const MapVersion> reported, RankIndex self);
};

/**
 * State machine of one rank in a lock-step group: forms generations, runs steps and prepares maps. Does no I/O and does
 * not read the clock.
 */
class ExpertMapBase
{
public:
    ExpertMapBase(RankIndex self, std::size_t ranks, RankIncarnation incarnation);
    virtual ~ExpertMapBase() = default;
    ExpertMapBase(const ExpertMapBase &) = delete;
    ExpertMapBase &operator=(const ExpertMapBase &) = delete;

    GroupActions onMessage(const GroupMessage &message);

    /** Handles an order; ignored if its fencing token is old or its epoch is not later than that of the newest map. */
    GroupActions onOrder(const PrepareOrder &order);

    /** To be called when the weights of @p map are loaded. */
    GroupActions onLoaded(const MapVersion &map);

    /** To be called when the weights of @p map could not be loaded; a later order or onTick() retries. */
    void onLoadFailed(const MapVersion &map);

    /** To be called when the step requested by GroupActions::runStep has ended. */
    GroupActions onStepDone();

    /** Repeats the messages that peers may have missed. */
    GroupActions onTick();

    bool isFormed() const
    {
        return m_isFormed;
    }

    std::uint64_t generation() const
    {
        return m_generation;
    }

    std::uint64_t step() const
    {
        return m_step;
    }

    const MapVersion &inUse() const
    {
        return m_inUse;
    }

    /** Whether the weights of @p map are loaded. */
    bool isHeld(const MapVersion &map) const;

    std::uint64_t fencingToken() const
    {
        return m_fencingToken;
    }

protected:
    virtual bool isComplete(std::size_t reports) const = 0;
    virtual MapVersion nextMap(std::span<const MapVersion> reported) const = 0;

    RankIndex m_self;
    MapVersion m_inUse;
    std::vector<RankIncarnation> m_members;

private:
    void onJoin(const JoinMessage &join, GroupActions &actions);
    void onStep(const StepMessage &message, GroupActions &actions);
    bool mergeMembers(const std::vector<RankIncarnation> &members);
    void startGeneration(std::uint64_t generation, GroupActions &actions);
    void sendJoin(GroupActions &actions);
    void sendAnswer(RankIndex to, GroupActions &actions) const;
    void formIfComplete(GroupActions &actions);
    void form(const MapVersion &map, GroupActions &actions);
    void advanceIfComplete(GroupActions &actions);
    MapVersion mapToLoad() const;
    void requestLoad(const MapVersion &map, GroupActions &actions);
    std::vector<MapVersion> commonMaps(bool skipEmpty) const;
    void dropUnusedMaps();

    std::uint64_t m_generation = 0;
    bool m_isFormed = false;
    JoinMessage m_join; ///< Own message for this generation.
    std::map<RankIndex, JoinMessage> m_joins;

    std::uint64_t m_step = 0;
    bool m_isStepDone = false;
    std::vector<StepMessage> m_sent; ///< Own messages of the last two steps, which peers may have missed.
    std::map<std::uint64_t, std::map<RankIndex, MapVersion>> m_reports; ///< Reports of this generation, by step.

    std::uint64_t m_fencingToken = 0;
    std::optional<MapVersion> m_loading;
    std::vector<MapVersion> m_held; ///< Loaded maps in ascending order; the last one is reported as prepared.
    std::optional<MapVersion> m_reported; ///< Reported in this step, so that peers may be using it already.
};

template<SwitchRule Rule>
class BasicExpertMap : public ExpertMapBase
{
public:
    using ExpertMapBase::ExpertMapBase;

protected:
    bool isComplete(std::size_t reports) const override
    {
        return Rule::isComplete(reports, m_members.size());
    }

    MapVersion nextMap(std::span<const MapVersion> reported) const override
    {
        return Rule::next(m_inUse, reported, m_self);
    }
};

using RankExpertMap = BasicExpertMap<UnanimousSwitch>;

} // namespace turmericline
