#pragma once

#include "part_suspect.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace turmericline {

/** Encodes a report as an array for MessagePack or JSON. */
nlohmann::json encodePartReport(const PartReport &report);
/** Decodes a report; returns nothing if it is invalid. */
std::optional<PartReport> decodePartReport(const nlohmann::json &value);

/** Returns the reports for a message to another process: at most 400 bytes as MessagePack, or one report. */
std::vector<PartReport> partReportsForMessage(PartSuspects &parts, Age now);
/** Returns the number of parts with crashes, and those with the most crashes, for operators. */
nlohmann::json describeParts(const PartSuspects &parts, Age now);

} // namespace turmericline
