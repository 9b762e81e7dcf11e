#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace turmericline {

/**
 * `turmericline check [--previous FILE] FILE`: prints version and counts of a valid document and returns 0, or prints
 * every fault with its JSON path and returns 1. With --previous, the change from that document is checked too. A wrong
 * call or an unreadable file returns 2.
 */
int runCheck(const std::vector<std::string> &args, std::ostream &out, std::ostream &err);

/** `turmericline schema`: prints the JSON Schema of the configuration document. */
int runSchema(const std::vector<std::string> &args, std::ostream &out, std::ostream &err);

} // namespace turmericline
