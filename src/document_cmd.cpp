#include "document_cmd.h"

#include "document.h"

#include <fmt/format.h>

namespace turmericline {

std::optional<std::string> validateOrder(const ActiveDocument &inForce, const DocumentRef &ref)
{
    if (ref > inForce.ref) {
        return std::nullopt;
    }
    if (ref == inForce.ref) {
        return fmt::format("version {} is already active", ref.version);
    }
    return fmt::format(
        "version {} is below the active version {}, or equal with a lower digest", ref.version, inForce.ref.version);
}

std::optional<std::string> validateChange(const ActiveDocument &inForce, const Document &document)
{
    // Two documents with the same version were both derived from an earlier one, so the change between them is
    // meaningless. Rejecting it would leave instances with different documents.
    if (!inForce.document || document.version == inForce.ref.version) {
        return std::nullopt;
    }
    const auto faults = checkTransition(*inForce.document, document);
    if (faults.empty()) {
        return std::nullopt;
    }
    return faults.front().path + ": " + faults.front().message;
}

std::optional<std::string>
validateApply(const ActiveDocument &inForce, const DocumentRef &ref, const Document &document)
{
    if (auto reason = validateOrder(inForce, ref)) {
        return reason;
    }
    return validateChange(inForce, document);
}

void makeActive(ActiveDocument &inForce,
                const DocumentRef &ref,
                std::shared_ptr<const std::string> text,
                Document document)
{
    inForce.ref = ref;
    inForce.text = std::move(text);
    inForce.document = std::make_shared<const Document>(std::move(document));
}

} // namespace turmericline
