#include "config_store_func.h"

namespace turmericline {

template class BasicConfigStore<ApplyChecks>;

} // namespace turmericline
