#pragma once

#include "exchange.h"

#include <chrono>

namespace turmericline {

/** Writes the log lines of a request that has ended: its failed attempts, what servers stated, and its outcome. */
void logExchange(const Exchange &exchange, std::chrono::steady_clock::duration total);

} // namespace turmericline
