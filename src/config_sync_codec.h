#pragma once

#include "config_store_type.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace turmericline {

/** Document references are encoded as [version, digest]. The decoders return nothing for malformed values. */
nlohmann::json encodeRef(const DocumentRef &ref);
std::optional<DocumentRef> decodeRef(const nlohmann::json &value);

nlohmann::json encodeAnnouncement(const DocumentAnnouncement &announcement);
std::optional<DocumentAnnouncement> decodeAnnouncement(const nlohmann::json &value);

nlohmann::json encodeQuery(const DocumentQuery &query);
std::optional<DocumentQuery> decodeQuery(const nlohmann::json &value);

/** Encodes a value as MessagePack. */
std::string toMessagePack(const nlohmann::json &value);
/** Decodes MessagePack; returns null if it is malformed. */
nlohmann::json fromMessagePack(std::string_view bytes);

} // namespace turmericline
