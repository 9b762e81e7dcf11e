#pragma once

#include "config_store_type.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

/** Returns the version of a document, which may be invalid otherwise; 0 if it has no valid version. */
std::uint64_t versionOf(const nlohmann::json &document);

/** Returns a text that is the same for equal documents: no white space, keys sorted. */
std::string canonicalText(const nlohmann::json &document);

DocumentDigest documentDigest(std::string_view canonicalText);

std::string digestText(const DocumentDigest &digest);

/** Parses 64 hexadecimal digits. */
std::optional<DocumentDigest> parseDigest(std::string_view text);

/** Returns a JSON Patch (RFC 6902) that turns @p from into @p to. */
nlohmann::json diffDocuments(const nlohmann::json &from, const nlohmann::json &to);

/** Applies a patch in place. Returns an error if it does not apply; @p document is then in an unspecified state. */
std::optional<std::string> patchDocument(nlohmann::json &document, const nlohmann::json &patch);

} // namespace turmericline
