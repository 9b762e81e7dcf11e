#pragma once

#include "document_type.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string_view>

namespace turmericline {

/** Largest document that the platform's configuration service stores. */
inline constexpr std::size_t maxDocumentBytes = 1U << 20U;

/** Result of parsing: the document, or all validation errors. */
struct DocumentParseResult
{
    std::optional<Document> document;
    std::vector<DocumentError> errors;
};

/** Parses and validates a configuration document. Reports all validation errors, not only the first. */
DocumentParseResult parseDocument(std::string_view text);

/** Validates a document that is already parsed as JSON. */
DocumentParseResult parseDocumentJson(const nlohmann::json &json);

/** Serialises a document to JSON that parseDocument() accepts. Only texts and times that are not set are omitted. */
std::string printDocument(const Document &document);

/** Returns the JSON Schema (draft 2020-12), generated from the field tables that the parser uses. */
nlohmann::json documentSchema();

/**
 * Validates the change from @p from to @p to: a slot of plain idempotency keys may get a new owner only if the old one
 * is no longer listed, and the key lifetime must stay the same. Does not compare the versions.
 */
std::vector<DocumentError> checkTransition(const Document &from, const Document &to);

/** Returns the first 16 bytes of the SHA-256 of a caller's API key as 22 characters of base64url. */
std::string keyDigest(std::string_view key);

/** Looks up the workspace of a key digest in a hash table; returns an invalid id if there is none. */
Id<Workspace> findWorkspaceByKey(const Document &document, std::string_view digest);

/** Returns whether a call is idempotent. @p path is the part after /services/NAME, with or without a query. */
bool isIdempotentCall(const Service &service, std::string_view method, std::string_view path);

/** Returns the backend servers of a service, whatever their state, in the order of the document. */
std::span<const Id<BackendServer>> serversOf(const Document &document, Id<Service> service);

} // namespace turmericline
