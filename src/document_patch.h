#pragma once

#include "config_store_type.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

/** Version of a document that may be otherwise invalid, or 0. */
std::uint64_t versionOf(const nlohmann::json &document);

/** Text that is equal for equal documents: no white space, keys in order. */
std::string canonicalText(const nlohmann::json &document);

DocumentDigest documentDigest(std::string_view canonicalText);

std::string digestText(const DocumentDigest &digest);

/** Reads 64 hexadecimal digits. */
std::optional<DocumentDigest> parseDigest(std::string_view text);

/** JSON Patch (RFC 6902) that turns @p from into @p to. */
nlohmann::json diffDocuments(const nlohmann::json &from, const nlohmann::json &to);

/** Applies a patch in place; returns the reason if it does not fit, with @p document in an unspecified state. */
std::optional<std::string> patchDocument(nlohmann::json &document, const nlohmann::json &patch);

} // namespace turmericline
