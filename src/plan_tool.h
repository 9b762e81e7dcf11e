#pragma once

#include <iosfwd>

namespace turmericline {

/**
 * Runs `turmericline plan`: replays a trace under a placement policy, or generates a trace. argv[0] is the name of the
 * subcommand. Returns the exit code: 0, or 1 after a message on @p err.
 */
int runPlan(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
