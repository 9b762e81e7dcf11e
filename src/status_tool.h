#pragma once

#include <ostream>

namespace turmericline {

/** `turmericline status --entry IP:PORT [--json]`: prints the status that an instance serves on its operators' port. */
int runStatus(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
