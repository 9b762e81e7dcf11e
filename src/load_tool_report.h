#pragma once

#include "load_tool_type.h"

#include <ostream>

namespace turmericline {

/** Prints a human-readable table. */
void printLoadTable(const LoadReport &report, std::ostream &out);
/** Prints one JSON line for each kind and class with requests, followed by one of kind "summary". */
void printLoadJson(const LoadReport &report, std::ostream &out);

} // namespace turmericline
