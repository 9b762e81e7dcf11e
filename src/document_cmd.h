#pragma once

#include "config_store_type.h"

namespace turmericline {

/** Checks made before a document comes into force; tests switch them off to show that they matter. */
struct ApplyChecks
{
    static constexpr bool ordering = true;
    static constexpr bool digest = true;
};

/** Test pass, first part: the reason why a document is too old to follow the one in force. */
std::optional<std::string> testOrder(const DocumentInForce &inForce, const DocumentRef &ref);

/** Test pass: the reason why @p document may not come into force; changes nothing. */
std::optional<std::string> testApply(const DocumentInForce &inForce, const DocumentRef &ref, const Document &document);

/** Execute pass: puts a document in force that has passed testApply(). */
void executeApply(DocumentInForce &inForce,
                  const DocumentRef &ref,
                  std::shared_ptr<const std::string> text,
                  Document document);

/** testApply() without the order of versions. */
std::optional<std::string> testChange(const DocumentInForce &inForce, const Document &document);

} // namespace turmericline
