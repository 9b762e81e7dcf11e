#pragma once

#include "placement_type.h"

#include <span>

namespace turmericline {

/** Chooses the maps of all layers of a group from the windows observed so far. The initial maps are round robin. */
class Placer
{
public:
    Placer(const PlacementShape &shape, std::size_t layers);
    virtual ~Placer() = default;
    Placer(const Placer &) = delete;
    Placer &operator=(const Placer &) = delete;

    /** Records the loads of the window that has ended, by layer, and chooses the maps of the next window. */
    void observe(std::span<const ExpertLoads> layers, bool held = false);

    /** Map of @p layer for the next window. */
    const ExpertMap &map(std::size_t layer) const
    {
        return m_maps[layer];
    }

protected:
    /** Updates m_maps. With @p held, the loads are recorded but no map may change. */
    virtual void decide(std::span<const ExpertLoads> layers, bool held) = 0;

    PlacementShape m_shape;
    std::vector<ExpertMap> m_maps;
};

} // namespace turmericline
