#pragma once

#include "document_type.h"

namespace turmericline {

/** Checks what concerns several fields or rows, and fills the indexes of the document. */
void checkRules(Document &document, std::vector<DocumentFault> &faults);

} // namespace turmericline
