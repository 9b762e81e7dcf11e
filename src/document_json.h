#pragma once

#include "document_type.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

/** Parsed JSON value, or the errors found in the text. */
struct JsonReadResult
{
    std::optional<nlohmann::json> value;
    std::vector<DocumentError> errors;
};

/**
 * Parses JSON strictly: at most @p maxBytes, valid UTF-8, no duplicate keys, bounded nesting. The parser of nlohmann
 * silently keeps the last of two equal keys, and its printer recurses without a limit.
 */
JsonReadResult readJson(std::string_view text, std::size_t maxBytes);

/** Location in a JSON value, a linked list on the stack, so that the text is only built when an error is reported. */
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

    /** Returns the path as text, such as "$.plans[2].weight". */
    std::string text() const;
};

} // namespace turmericline
