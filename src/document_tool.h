#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace turmericline {

/**
 * `turmericline check [--previous FILE] FILE`: prints the version and counts of a valid document and returns 0, or
 * prints all validation errors with their JSON paths and returns 1. With --previous, the change from that document is
 * validated too. Returns 2 for wrong arguments or an unreadable file.
 */
int runCheck(const std::vector<std::string> &args, std::ostream &out, std::ostream &err);

/** `turmericline schema`: prints the JSON Schema of the configuration document. */
int runSchema(const std::vector<std::string> &args, std::ostream &out, std::ostream &err);

} // namespace turmericline
