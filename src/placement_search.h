#pragma once

#include "placement_type.h"

#include <array>
#include <initializer_list>
#include <span>

namespace turmericline {

/** Local search for a better map of one layer. Each step relieves the rank with the largest expected load. */
class MapSearch
{
public:
    /** Adds a copy of an expert to a rank or removes it. */
    struct Edit
    {
        enum class Kind { Add, Remove } kind = Kind::Add;
        ExpertIndex expert = 0;
        std::size_t rank = 0;
    };

    explicit MapSearch(const PlacementShape &shape);

    /** Restarts the search from @p map with the expected @p shares of the experts. */
    void reset(const ExpertMap &map, const ExpertLoads &shares);
    /** @p extraLoad is added to the load of each rank's experts, in units of the mean load; for slow ranks. */
    void reset(const ExpertMap &map, const ExpertLoads &shares, std::span<const double> extraLoad);

    /** Limits the number of copies per rank that the rank did not hold at the start. */
    void limitNewCopies(std::span<const std::size_t> maxByRank);

    /** Number of copies that @p rank did not hold at the start. */
    std::size_t newCopies(std::size_t rank) const
    {
        return m_newCopies[rank];
    }

    /** Applies the change with the best gain per move; returns false if no change has a gain. */
    bool step();

    /** Changes the numbers of copies of the experts to about those of a map built from scratch. */
    void retarget();

    /** Number of copies on ranks that did not hold them at the start. */
    std::size_t moves() const
    {
        return m_moves;
    }

    /** Expected skew of the current map. */
    double skew() const;

    /** Mean skew of the current map over @p scenarios. */
    double meanSkew(const ScenarioLoads &scenarios) const;

    /** All edits since the start, in order. */
    const std::vector<Edit> &edits() const
    {
        return m_edits;
    }

    /** Applies @p edits to @p map and keeps the experts of each rank in ascending order. */
    static void applyTo(ExpertMap &map, std::span<const Edit> edits);

private:
    /** Up to four edits that are applied together. */
    struct Change
    {
        std::array<Edit, 4> edits;
        std::size_t count = 0;
    };

    /** Effect of one copy more or less of an expert on the ranks that hold it. */
    struct Rating
    {
        double share = 0.0;
        double shareWithCopy = 0.0; ///< Share with one copy more.
        double shareIncrease = 0.0; ///< Increase of the share with one copy less.
        double penaltyIncrease = 0.0; ///< Increase of the summed penalty of the holders with one copy less.
        double penaltyDecrease = 0.0; ///< Decrease of the summed penalty of the holders with one copy more.
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
    void considerExchanges();
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
    std::vector<double> m_penalty; ///< Penalty of the load of each rank; each step lowers the sum.
    std::vector<std::uint32_t> m_targets; ///< Least loaded ranks, to which a step may add copies.
    std::vector<Rating> m_ratings;
    std::vector<Edit> m_edits;
    std::vector<std::size_t> m_newCopies; ///< By rank: number of copies that it did not hold at the start.
    std::vector<std::size_t> m_maxNewCopies; ///< Limits of m_newCopies by rank; empty for no limit.
    std::size_t m_moves = 0;
    std::size_t m_mostLoaded = 0;
    std::size_t m_stepsUntilTargets = 0; ///< Steps until the targets are chosen again.
    Change m_best;
    double m_bestRate = 0.0;
};

} // namespace turmericline
