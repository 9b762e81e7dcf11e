#pragma once

#include "placement_type.h"

#include <array>
#include <initializer_list>
#include <span>

namespace turmericline {

/** Improves a map of one layer step by step; each step relieves the rank with the largest expected load. */
class MapSearch
{
public:
    /** One copy put on or dropped from a rank. */
    struct Edit
    {
        enum class Kind { Put, Drop } kind = Kind::Put;
        ExpertIndex expert = 0;
        std::size_t rank = 0;
    };

    explicit MapSearch(const PlacementShape &shape);

    /** Starts from @p map with the expected @p shares of the experts. */
    void reset(const ExpertMap &map, const ExpertLoads &shares);
    /** @p spare: load that each rank counts beyond its experts, in units of the mean load; for ranks that are slow. */
    void reset(const ExpertMap &map, const ExpertLoads &shares, std::span<const double> spare);

    /** Allows each rank at most so many copies that it did not hold at the start. */
    void limitNewCopies(std::span<const std::size_t> mostByRank);

    /** Copies that @p rank did not hold at the start. */
    std::size_t newCopies(std::size_t rank) const
    {
        return m_newCopies[rank];
    }

    /** Makes the change with the best gain per move; returns false if no change gains anything. */
    bool step();

    /** Brings the number of copies of the experts close to what a map from scratch would have. */
    void retarget();

    /** Copies that the map so far has on ranks that did not hold them at the start. */
    std::size_t moves() const
    {
        return m_moves;
    }

    /** Expected skew of the map so far. */
    double skew() const;

    /** Mean skew of the map so far over @p scenarios. */
    double meanSkew(const ScenarioLoads &scenarios) const;

    /** Every edit since the start. */
    const std::vector<Edit> &edits() const
    {
        return m_edits;
    }

    /** Makes @p edits in @p map, which keeps the experts of each rank ascending. */
    static void applyTo(ExpertMap &map, std::span<const Edit> edits);

private:
    /** Up to four edits that make one change. */
    struct Change
    {
        std::array<Edit, 4> edits;
        std::size_t count = 0;
    };

    /** What one copy more or less of an expert means for the ranks that hold it. */
    struct Rating
    {
        double share = 0.0;
        double nextShare = 0.0; ///< Share with one copy more.
        double rise = 0.0; ///< By which the share grows with one copy less.
        double lost = 0.0; ///< Penalty that all holders add up to more with one copy less.
        double won = 0.0; ///< Penalty that all holders add up to less with one copy more.
    };

    bool holds(std::size_t rank, ExpertIndex expert) const
    {
        return m_held[rank * m_shape.experts + expert] != 0;
    }

    double share(ExpertIndex expert, std::size_t copies) const
    {
        return m_load[expert] / static_cast<double>(copies);
    }

    std::size_t copies(ExpertIndex expert) const
    {
        return m_holders[expert].size();
    }

    bool isWithinLimit(std::initializer_list<Edit> edits) const;
    double moveCost(ExpertIndex expert, std::size_t rank) const;
    void chooseTargets();
    void rateExperts();
    void considerPulls();
    void considerCopies(std::size_t rank);
    void considerSwaps(std::size_t rank);
    void considerReplacements(std::size_t rank, ExpertIndex expert);
    void considerFreeSlot(std::size_t rank, ExpertIndex expert);
    void consider(std::initializer_list<Edit> edits, double cost, double gain);
    void apply(const Edit &edit);

    PlacementShape m_shape;
    ExpertLoads m_load; ///< Expected load of each expert, in units of the mean rank load.
    std::vector<std::vector<std::uint32_t>> m_holders; ///< Ranks that hold each expert.
    std::vector<std::vector<ExpertIndex>> m_slots; ///< Experts of each rank.
    std::vector<char> m_held;
    std::vector<char> m_heldAtStart;
    std::vector<double> m_rankLoad;
    std::vector<double> m_penalty; ///< Penalty of each rank's load; their sum is what a step lowers.
    std::vector<std::uint32_t> m_targets; ///< Least loaded ranks, which a step may put copies on.
    std::vector<Rating> m_ratings;
    std::vector<Edit> m_edits;
    std::vector<std::size_t> m_newCopies; ///< Copies of each rank that it did not hold at the start.
    std::vector<std::size_t> m_mostNewCopies; ///< By rank; empty for no limit.
    std::size_t m_moves = 0;
    std::size_t m_hottest = 0;
    std::size_t m_stepsLeft = 0; ///< Steps until the targets are chosen anew.
    Change m_best;
    double m_bestRate = 0.0;
};

} // namespace turmericline
