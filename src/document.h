#pragma once

#include "document_type.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <string_view>

namespace turmericline {

/** Largest value that the platform's configuration service stores. */
inline constexpr std::size_t maxDocumentBytes = 1U << 20U;

/** The document, or every fault that was found in it. */
struct DocumentParse
{
    std::optional<Document> document;
    std::vector<DocumentFault> faults;
};

/** Reads and validates a configuration document; reports all faults, not only the first. */
DocumentParse parseDocument(std::string_view text);

/** The same for a document that has been read as JSON already. */
DocumentParse parseDocumentJson(const nlohmann::json &json);

/** Prints a document as JSON text that parseDocument() accepts, with every field written out. */
std::string printDocument(const Document &document);

/** JSON Schema (draft 2020-12) made from the same field tables as the parser. */
nlohmann::json documentSchema();

/**
 * Faults of a change from @p from to @p to: the owner of a plain key may change only if the old owner is no longer
 * listed. Says nothing about the order of versions.
 */
std::vector<DocumentFault> checkTransition(const Document &from, const Document &to);

/** First 16 bytes of SHA-256 of a caller's key as 22 characters of base64url. */
std::string keyDigest(std::string_view key);

/** Returns the workspace that a key digest belongs to, in constant time, or an invalid id. */
Id<Workspace> findWorkspaceByKey(const Document &document, std::string_view digest);

/** Says whether a call is idempotent; @p path is the part after /services/NAME, with or without a query. */
bool findCall(const Service &service, std::string_view method, std::string_view path);

/** Backend servers of a service in every state, in the order of the document. */
std::span<const Id<BackendServer>> serversOf(const Document &document, Id<Service> service);

} // namespace turmericline
