#include "document_cmd.h"

#include "document.h"

#include <fmt/format.h>

namespace turmericline {

std::optional<std::string> validateOrder(const ActiveDocument &activeDocument, const DocumentRef &ref)
{
    if (ref > activeDocument.ref) {
        return std::nullopt;
    }
    if (ref == activeDocument.ref) {
        return fmt::format("version {} is already active", ref.version);
    }
    return fmt::format("version {} is below the active version {}, or equal with a lower digest",
                       ref.version,
                       activeDocument.ref.version);
}

std::optional<std::string> validateChange(const ActiveDocument &activeDocument, const Document &document)
{
    // Two documents with the same version were both derived from an earlier one, so the change between them is
    // meaningless. Rejecting it would leave instances with different documents.
    if (!activeDocument.document || document.version == activeDocument.ref.version) {
        return std::nullopt;
    }
    const auto errors = checkTransition(*activeDocument.document, document);
    if (errors.empty()) {
        return std::nullopt;
    }
    return errors.front().path + ": " + errors.front().message;
}

std::optional<std::string>
validateApply(const ActiveDocument &activeDocument, const DocumentRef &ref, const Document &document)
{
    if (auto reason = validateOrder(activeDocument, ref)) {
        return reason;
    }
    return validateChange(activeDocument, document);
}

void makeActive(ActiveDocument &activeDocument,
                const DocumentRef &ref,
                std::shared_ptr<const std::string> text,
                Document document)
{
    activeDocument.ref = ref;
    activeDocument.text = std::move(text);
    activeDocument.document = std::make_shared<const Document>(std::move(document));
}

} // namespace turmericline
