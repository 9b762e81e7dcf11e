#pragma once

#include "placement_type.h"

#include <span>

namespace turmericline {

/** Chooses the maps of all layers of a group from the windows observed so far. The first map is round robin. */
class Placer
{
public:
    Placer(const PlacementShape &shape, std::size_t layers);
    virtual ~Placer() = default;
    Placer(const Placer &) = delete;
    Placer &operator=(const Placer &) = delete;

    /** Takes the loads of the window that has ended, one entry per layer, and chooses the maps of the next window. */
    void observe(std::span<const ExpertLoads> layers, bool held = false);

    /** Map of @p layer for the window that comes next. */
    const ExpertMap &map(std::size_t layer) const
    {
        return m_maps[layer];
    }

protected:
    /** Updates m_maps; while @p held, history is recorded but no map changes. */
    virtual void decide(std::span<const ExpertLoads> layers, bool held) = 0;

    PlacementShape m_shape;
    std::vector<ExpertMap> m_maps;
};

} // namespace turmericline
