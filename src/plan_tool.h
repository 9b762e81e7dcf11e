#pragma once

#include <iosfwd>

namespace turmericline {

/**
 * Runs `turmericline plan`, which replays a trace with a placement policy or generates a trace. argv[0] is the name of
 * the subcommand. Returns the exit code: 0, or 1 after an error message on @p err.
 */
int runPlan(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
