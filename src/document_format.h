#pragma once

#include <optional>
#include <string_view>

namespace turmericline {

/** Format of a text field. */
enum class TextFormat {
    Text,
    Name,
    ServerName,
    KeyDigest,
    Endpoint,
    TimeOfDay,
    Method,
    CallPath,
};

struct TextFormatRow
{
    TextFormat format;
    std::string_view pattern; ///< For the JSON Schema; may accept more than @c accepts, never less.
    std::string_view meaning; ///< Completes the error message "expected ...".
    bool (*accepts)(std::string_view);
};

const TextFormatRow &textFormat(TextFormat format);

/** Parses "HH:MM" to minutes since midnight. */
std::optional<int> parseTimeOfDay(std::string_view text);

} // namespace turmericline
