#pragma once

#include "suspect.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericline {

/** Parses 32 hexadecimal digits; returns nothing for any other text. */
std::optional<Fingerprint> parseFingerprint(std::string_view text);
std::string formatFingerprint(const Fingerprint &fingerprint);

/** Encodes a report as an array for MessagePack or JSON. */
nlohmann::json encodeReport(const CrashReport &report);
/** Decodes a report; returns nothing if it is invalid. */
std::optional<CrashReport> decodeReport(const nlohmann::json &value);

/** Returns the reports for a message to another process: at most 16, and 800 bytes as MessagePack. */
std::vector<CrashReport> reportsForMessage(SuspectTable &table, Age now);
/** Returns the number of fingerprints and the 100 latest crashes, for operators. */
nlohmann::json describeSuspects(const SuspectTable &table, Age now);

} // namespace turmericline
