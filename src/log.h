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

/** Sends JSON lines of at least @p minimum to standard error, each with the name of this instance. */
void initLog(LogLevel minimum, std::string_view instance);

/** Writes one JSON line with the time, level, message and @p fields. */
void logEvent(LogLevel level,
              std::string_view message,
              const nlohmann::ordered_json &fields = nlohmann::ordered_json::object());

} // namespace turmericline
