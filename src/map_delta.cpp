#include "map_delta.h"

#include <xxhash.h>

#include <algorithm>

namespace turmericline {

namespace {

/** Enough for the map in use, the one being prepared and those of abandoned switches. */
constexpr std::size_t cachedMaps = 4;

/** Returns false if a change is outside the map. */
bool applyTo(LayerMaps &map, const std::vector<MapChange> &changes)
{
    for (const auto &it : changes) {
        if (it.layer >= map.size() || it.rank >= map[it.layer].size()) {
            return false;
        }
        map[it.layer][it.rank] = it.experts;
    }
    return true;
}

} // namespace

std::vector<MapChange> mapChanges(const LayerMaps &base, const LayerMaps &map)
{
    std::vector<MapChange> changes;
    for (std::uint32_t l = 0; l < map.size(); ++l) {
        for (std::uint32_t r = 0; r < map[l].size(); ++r) {
            if (map[l][r] != base[l][r]) {
                changes.push_back({l, r, map[l][r]});
            }
        }
    }
    return changes;
}

std::uint64_t mapDigest(const LayerMaps &map)
{
    std::vector<ExpertIndex> numbers;
    for (const auto &layer : map) {
        for (const auto &rank : layer) {
            numbers.push_back(static_cast<ExpertIndex>(rank.size()));
            numbers.insert(numbers.end(), rank.begin(), rank.end());
        }
    }
    return XXH3_64bits(numbers.data(), numbers.size() * sizeof(ExpertIndex));
}

LayerMaps initialMap(std::size_t layers, std::size_t experts, std::size_t ranks)
{
    ExpertMap map(ranks);
    for (ExpertIndex e = 0; e < experts; ++e) {
        map[e % ranks].push_back(e);
    }
    return LayerMaps(layers, map);
}

void MapCache::setInitialMap(std::size_t layers, std::size_t experts, std::size_t ranks)
{
    const bool isSame = m_initialMap.size() == layers && layers > 0 && m_initialMap.front().size() == ranks
                        && m_initialExpertCount == experts;
    if (!isSame && ranks > 0) {
        m_initialMap = initialMap(layers, experts, ranks);
        m_initialExpertCount = experts;
    }
}

const LayerMaps *MapCache::find(std::uint64_t epoch, MapNumber version) const
{
    if (version == 0) {
        return m_initialMap.empty() ? nullptr : &m_initialMap;
    }
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [epoch, version](const Entry &entry) {
        return entry.epoch == epoch && entry.version == version;
    });
    return it == m_entries.end() ? nullptr : &it->map;
}

std::optional<LayerMaps> MapCache::resolveMap(const RankOrder &order)
{
    auto map = order.map;
    if (map.empty()) {
        const auto *base = find(order.epoch, order.base);
        if (base == nullptr) {
            return std::nullopt;
        }
        map = *base;
        // All ranks must use the same map. The digest detects a delta that was applied to a different base.
        if (!applyTo(map, order.changes) || mapDigest(map) != order.digest) {
            return std::nullopt;
        }
    }
    if (find(order.epoch, order.version) == nullptr) {
        m_entries.push_front({order.epoch, order.version, map});
        m_entries.resize(std::min(m_entries.size(), cachedMaps));
    }
    return map;
}

} // namespace turmericline
