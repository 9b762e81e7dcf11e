#pragma once

#include "load_tool_type.h"

#include <ostream>

namespace turmericline {

/** Parses the flags after argv[0]; appends one line to @p errors for each invalid one. */
LoadOptions parseLoadOptions(int argc, const char *const *argv, std::vector<std::string> &errors);
void printLoadHelp(std::ostream &out);

} // namespace turmericline
