#pragma once

#include <optional>
#include <string_view>

namespace turmericline {

/** What a text field may contain. */
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
    std::string_view pattern; ///< For consoles; may accept more than @c accepts, never less.
    std::string_view meaning; ///< Completes the message "expected ...".
    bool (*accepts)(std::string_view);
};

const TextFormatRow &textFormat(TextFormat format);

/** Minutes since midnight of "HH:MM". */
std::optional<int> parseTimeOfDay(std::string_view text);

} // namespace turmericline
