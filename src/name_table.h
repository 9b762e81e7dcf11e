#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace turmericline {

/** Row of a name table: an enum value and its external name in documents, headers and logs. */
template<typename E>
struct NamedValue
{
    E value;
    std::string_view name;
};

/** Returns the name of @p value, or an empty view if it is not in the table. */
template<typename E, std::size_t N>
constexpr std::string_view nameOf(const std::array<NamedValue<E>, N> &table, E value)
{
    for (const auto &it : table) {
        if (it.value == value) {
            return it.name;
        }
    }
    return {};
}

/** Returns the value named @p name, or std::nullopt if it is not in the table. */
template<typename E, std::size_t N>
constexpr std::optional<E> valueOf(const std::array<NamedValue<E>, N> &table, std::string_view name)
{
    for (const auto &it : table) {
        if (it.name == name) {
            return it.value;
        }
    }
    return std::nullopt;
}

} // namespace turmericline
