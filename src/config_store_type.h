#pragma once

#include "document_type.h"

#include <array>
#include <compare>
#include <memory>

namespace turmericline {

/** SHA-256 of a document's canonical text. */
using DocumentDigest = std::array<std::uint8_t, 32>;

/** Identity of a document. Documents are ordered by version, then by digest; an empty reference is the lowest. */
struct DocumentRef
{
    std::uint64_t version = 0;
    DocumentDigest digest{};

    friend bool operator==(const DocumentRef &, const DocumentRef &) = default;

    // Not defaulted, because clang-tidy 14 mistakes the zero in a defaulted operator for a null pointer.
    friend std::strong_ordering operator<=>(const DocumentRef &a, const DocumentRef &b)
    {
        const auto order = a.version <=> b.version;
        return std::is_eq(order) ? a.digest <=> b.digest : order;
    }
};

/** Documents that an instance announces to its peers. */
struct DocumentAnnouncement
{
    DocumentRef activeDocument;
    DocumentRef newest; ///< Higher than @c activeDocument only while the instance keeps a document that it rejects.
};

/** Documents that an instance already has, sent to a peer to request an update. */
struct DocumentQuery
{
    DocumentRef from; ///< Base for patches; empty to request full documents.
    DocumentRef seen; ///< Newest document that it has, active or rejected.
};

struct ActiveDocument
{
    DocumentRef ref;
    std::shared_ptr<const std::string> text; ///< Canonical text.
    std::shared_ptr<const Document> document; ///< Null until the first document is applied.
};

enum class ApplyStatus {
    Applied,
    Unchanged, ///< It contains nothing new.
    KeptForPeers, ///< Rejected, but kept for peers that may accept it.
    Refused, ///< Malformed, or not what the peer announced; nothing was kept.
};

struct ApplyOutcome
{
    ApplyStatus status = ApplyStatus::Unchanged;
    std::string reason;
    /** Version of the offered document, or 0. If it is below the active version, the service is stale. */
    std::uint64_t version = 0;
};

struct ConfigStoreLimits
{
    std::size_t patches = 64;
    std::size_t patchBytes = 512U << 10U;
};

struct ConfigStoreCounters
{
    std::uint64_t applied = 0;
    std::uint64_t refused = 0;
    std::uint64_t rejected = 0;
    std::uint64_t conflicts = 0; ///< Documents with the active version but another digest.
};

} // namespace turmericline
