#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericline {

/** Index of an entity in its pool; ids of different entity types are distinct types. */
template<typename Entity>
struct Id
{
    static constexpr std::uint32_t none = UINT32_MAX;

    std::uint32_t index = none;

    bool isValid() const
    {
        return index != none;
    }

    friend auto operator<=>(const Id &, const Id &) = default;
};

/** Transparent hash, for lookups in string-keyed maps by std::string_view without a temporary string. */
struct StringHash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

/** Array of entities with a unique @c name member. Entities are never removed, so ids remain valid. */
template<typename Entity>
class Pool
{
public:
    /** Adds an entity; returns an invalid id if its name already exists. */
    Id<Entity> add(Entity entity)
    {
        const Id<Entity> id{static_cast<std::uint32_t>(m_entities.size())};
        if (!m_byName.emplace(entity.name, id).second) {
            return {};
        }
        m_entities.push_back(std::move(entity));
        return id;
    }

    /** Returns the id of the entity named @p name, or an invalid id. */
    Id<Entity> find(std::string_view name) const
    {
        const auto it = m_byName.find(name);
        return it == m_byName.end() ? Id<Entity>{} : it->second;
    }

    const Entity &operator[](Id<Entity> id) const
    {
        return m_entities[id.index];
    }

    Entity &operator[](Id<Entity> id)
    {
        return m_entities[id.index];
    }

    std::size_t size() const
    {
        return m_entities.size();
    }

    auto begin() const
    {
        return m_entities.begin();
    }

    auto end() const
    {
        return m_entities.end();
    }

private:
    std::vector<Entity> m_entities;
    std::unordered_map<std::string, Id<Entity>, StringHash, std::equal_to<>> m_byName;
};

} // namespace turmericline
