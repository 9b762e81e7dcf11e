#pragma once

#include "name_table.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace turmericline {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

inline constexpr std::array<NamedValue<LogLevel>, 4> logLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/** Destination of log lines. */
enum class LogTarget {
    StandardError,
    /** Standard output; lines that would block are dropped and counted, so that logging never blocks. */
    StandardOutput,
};

/** Sets the minimum level, the instance name of each line, and the destination. Nothing is logged before this call. */
void initLog(LogLevel minimum, std::string_view instance, LogTarget target = LogTarget::StandardError);

/** Writes one JSON line with the time, level, message and @p fields. */
void logEvent(LogLevel level,
              std::string_view message,
              const nlohmann::ordered_json &fields = nlohmann::ordered_json::object());

} // namespace turmericline
