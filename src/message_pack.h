#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

/**
 * Decodes MessagePack that another process has sent. Returns a discarded value if it is malformed, or nested more deeply
 * than any message is: the library decodes recursively, so the nesting of a message would be that of the stack.
 */
nlohmann::json decodeMessagePack(std::string_view bytes);

} // namespace turmericline
