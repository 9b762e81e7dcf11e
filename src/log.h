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

/** Where log lines go. */
enum class LogTarget {
    StandardError,
    /** Standard output; lines that it does not take at once are dropped and counted, so that logging never blocks. */
    StandardOutput,
};

/** Sends JSON lines of at least @p minimum to @p target, each with the name of this instance. */
void initLog(LogLevel minimum, std::string_view instance, LogTarget target = LogTarget::StandardError);

/** Writes one JSON line with the time, level, message and @p fields. */
void logEvent(LogLevel level,
              std::string_view message,
              const nlohmann::ordered_json &fields = nlohmann::ordered_json::object());

} // namespace turmericline
