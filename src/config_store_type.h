#pragma once

#include "document_type.h"

#include <array>
#include <compare>
#include <memory>

namespace turmericline {

/** SHA-256 of a document's canonical text. */
using DocumentDigest = std::array<std::uint8_t, 32>;

/** Identity of a document. Documents are ordered by version, then digest; the empty one is below all others. */
struct DocumentRef
{
    std::uint64_t version = 0;
    DocumentDigest digest{};

    friend bool operator==(const DocumentRef &, const DocumentRef &) = default;

    // Written out because clang-tidy 14 takes the zero in a defaulted one for a null pointer.
    friend std::strong_ordering operator<=>(const DocumentRef &a, const DocumentRef &b)
    {
        const auto order = a.version <=> b.version;
        return std::is_eq(order) ? a.digest <=> b.digest : order;
    }
};

/** What an instance tells its peers. */
struct DocumentAnnouncement
{
    DocumentRef inForce;
    DocumentRef newest; ///< Above @c inForce only while the instance keeps a document that it rejects itself.
};

/** What an instance has, sent with its request for an update. */
struct DocumentQuery
{
    DocumentRef from; ///< Base for patches; empty to get a whole document.
    DocumentRef seen; ///< Newest document that it has, in force or not.
};

struct ActiveDocument
{
    DocumentRef ref;
    std::shared_ptr<const std::string> text; ///< Canonical text.
    std::shared_ptr<const Document> document; ///< Null until the first document is applied.
};

enum class ApplyStatus {
    Applied,
    Unchanged, ///< Nothing in it is new.
    KeptRaw, ///< Rejected, but kept for peers that may accept it.
    Refused, ///< Damaged or untrue; nothing was kept.
};

struct ApplyOutcome
{
    ApplyStatus status = ApplyStatus::Unchanged;
    std::string reason;
    /** Version of the document that was offered, or 0; one below that in force means that the service is stale. */
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
    std::uint64_t conflicts = 0; ///< Two documents with one version.
};

} // namespace turmericline
