#pragma once

#include "document_type.h"

namespace turmericline {

/** Checks the rules that span several fields or rows, and builds the indexes of the document. */
void checkRules(Document &document, std::vector<DocumentError> &errors);

} // namespace turmericline
