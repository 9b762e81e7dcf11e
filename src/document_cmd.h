#pragma once

#include "config_store_type.h"

namespace turmericline {

/** Checks that a document must pass before it is applied. Tests disable single checks to prove that they are needed. */
struct ApplyChecks
{
    static constexpr bool ordering = true;
    static constexpr bool digest = true;
};

/** Returns why a document is not newer than the active one, or nothing if it is newer. */
std::optional<std::string> validateOrder(const ActiveDocument &activeDocument, const DocumentRef &ref);

/** Returns why @p document must not become active, or nothing if it may. Changes nothing. */
std::optional<std::string>
validateApply(const ActiveDocument &activeDocument, const DocumentRef &ref, const Document &document);

/** Makes a document active that has passed validateApply(). */
void makeActive(ActiveDocument &activeDocument,
                const DocumentRef &ref,
                std::shared_ptr<const std::string> text,
                Document document);

/** validateApply() without the comparison of versions. */
std::optional<std::string> validateChange(const ActiveDocument &activeDocument, const Document &document);

} // namespace turmericline
