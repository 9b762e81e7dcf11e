#pragma once

#include "rank_type.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace turmericline {

/** Where @p map differs from @p base, which has the same layers and ranks. */
std::vector<MapChange> changesBetween(const LayerMaps &base, const LayerMaps &map);

/** Tells maps apart; equal for equal maps. */
std::uint64_t digestOf(const LayerMaps &map);

/** Map 0 of a new epoch: the experts are dealt to the ranks in turn. */
LayerMaps initialMap(std::size_t layers, std::size_t experts, std::size_t ranks);

/**
 * Maps that an agent has been sent, so that the next one can be sent as what changes.
 *
 * A whole map for each of 63 ranks takes 0.3 s of a link of 8 Mbit/s; the changes of one switch take a tenth of that.
 */
class MapCache
{
public:
    /** Tells from what map 0 follows; see initialMap(). */
    void setInitial(std::size_t layers, std::size_t experts, std::size_t ranks);

    /** The whole map of an order to prepare; nothing if the map that it changes is not known. */
    std::optional<LayerMaps> mapOf(const RankOrder &order);

private:
    struct Entry
    {
        std::uint64_t epoch = 0;
        MapNumber version = 0;
        LayerMaps map;
    };

    const LayerMaps *find(std::uint64_t epoch, MapNumber version) const;

    LayerMaps m_initial;
    std::size_t m_initialExperts = 0;
    std::deque<Entry> m_entries; ///< Last ones, newest first.
};

} // namespace turmericline
