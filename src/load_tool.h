#pragma once

#include "load_tool_type.h"

#include <ostream>

namespace turmericline {

/** Sends load until the duration is over and every answer has ended. */
LoadReport generateLoad(const LoadOptions &options);

/**
 * The command "turmericline load"; argv[0] is skipped. Prints the results to @p out and faults of the flags, all of
 * them in one run, to @p err. Returns the exit code: 0, or 2 for invalid flags.
 */
int runLoad(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
