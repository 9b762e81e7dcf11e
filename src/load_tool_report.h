#pragma once

#include "load_tool_type.h"

#include <ostream>

namespace turmericline {

/** Prints a table for people. */
void printLoadTable(const LoadReport &report, std::ostream &out);
/** Prints one JSON line for each kind and class that sent requests, and a last one of kind "summary". */
void printLoadJson(const LoadReport &report, std::ostream &out);

} // namespace turmericline
