#pragma once

#include "suspect_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Parses 32 hexadecimal digits; returns nothing for any other text. */
std::optional<Fingerprint> parseFingerprint(std::string_view text);
std::string formatFingerprint(const Fingerprint &fingerprint);

/** Encodes a report as an array for MessagePack or JSON. */
nlohmann::json encodeReport(const CrashReport &report);
/** Decodes a report; returns nothing if it is invalid. */
std::optional<CrashReport> decodeReport(const nlohmann::json &value);

} // namespace turmericline
