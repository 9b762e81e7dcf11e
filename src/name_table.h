#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace turmericline {

/** One row of a name table: an enum value and its name in documents, headers and logs. */
template<typename E>
struct NamedValue
{
    E value;
    std::string_view name;
};

/** Returns the name of @p value, or an empty view if the table lacks it. */
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

/** Returns the value called @p name, or nothing if the table lacks it. */
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
