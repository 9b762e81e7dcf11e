#pragma once

#include <ostream>

namespace turmericline {

/** `turmericline status --entry IP:PORT [--json]`: what an instance shows on its operators' port. */
int runStatus(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace turmericline
