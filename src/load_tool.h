#pragma once

#include "load_tool_type.h"

#include <ostream>

namespace turmericline {

/** Sends requests for the configured duration, then waits for the remaining responses. */
LoadReport generateLoad(const LoadOptions &options);

/**
 * Implements the command "turmericline load"; argv[0] is skipped. Prints the results to @p out, and all invalid flags
 * at once to @p err. Returns the exit code: 0, or 2 for invalid flags.
 */
int runLoad(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
