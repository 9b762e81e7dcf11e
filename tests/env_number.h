#pragma once

#include <cstdint>
#include <cstdlib>

/** Returns the number in the environment variable @p name, such as a seed; @p fallback if it is not set. */
inline std::uint64_t envNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}
