#pragma once

#include "config_store_type.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace turmericline {

/** Document references as MessagePack arrays [version, digest]; a reading fault gives nothing. */
nlohmann::json encodeRef(const DocumentRef &ref);
std::optional<DocumentRef> decodeRef(const nlohmann::json &value);

nlohmann::json encodeAnnouncement(const DocumentAnnouncement &announcement);
std::optional<DocumentAnnouncement> decodeAnnouncement(const nlohmann::json &value);

nlohmann::json encodeQuery(const DocumentQuery &query);
std::optional<DocumentQuery> decodeQuery(const nlohmann::json &value);

std::string toMessage(const nlohmann::json &value);
/** Reads MessagePack; anything invalid gives null. */
nlohmann::json fromMessage(std::string_view bytes);

} // namespace turmericline
