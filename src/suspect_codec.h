#pragma once

#include "suspect_type.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Reads 32 hexadecimal digits. */
std::optional<Fingerprint> parseFingerprint(std::string_view text);
std::string formatFingerprint(const Fingerprint &fingerprint);

/** A report as an array for MessagePack or JSON; a reading fault gives nothing. */
nlohmann::json encodeReport(const CrashReport &report);
std::optional<CrashReport> decodeReport(const nlohmann::json &value);

} // namespace turmericline
