#pragma once

#include "document_type.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

/** JSON value, or the faults of the text. */
struct JsonRead
{
    std::optional<nlohmann::json> value;
    std::vector<DocumentFault> faults;
};

/**
 * Reads JSON strictly: at most @p maxBytes, valid UTF-8, no duplicate keys, bounded nesting. nlohmann's own parser
 * keeps the last of two equal keys, and its printer recurses without a limit.
 */
JsonRead readJson(std::string_view text, std::size_t maxBytes);

/** Location in a JSON value, kept as a chain on the stack so that only a fault pays for the text. */
struct JsonPath
{
    const JsonPath *parent = nullptr;
    std::string_view key;
    std::size_t index = SIZE_MAX;

    JsonPath child(std::string_view name) const
    {
        return {this, name, SIZE_MAX};
    }

    JsonPath item(std::size_t i) const
    {
        return {this, {}, i};
    }

    /** Text such as "$.plans[2].weight". */
    std::string text() const;
};

} // namespace turmericline
