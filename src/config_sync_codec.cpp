#include "config_sync_codec.h"

#include "message_pack.h"

#include <algorithm>

namespace turmericline {

namespace {

using nlohmann::json;

json encodePair(const DocumentRef &first, const DocumentRef &second)
{
    return json::array({encodeRef(first), encodeRef(second)});
}

std::optional<std::pair<DocumentRef, DocumentRef>> decodePair(const json &value)
{
    if (!value.is_array() || value.size() != 2) {
        return std::nullopt;
    }
    const auto first = decodeRef(value[0]);
    const auto second = decodeRef(value[1]);
    return first && second ? std::optional(std::pair(*first, *second)) : std::nullopt;
}

} // namespace

json encodeRef(const DocumentRef &ref)
{
    return json::array({ref.version, json::binary({ref.digest.begin(), ref.digest.end()})});
}

std::optional<DocumentRef> decodeRef(const json &value)
{
    DocumentRef ref;
    const bool valid = value.is_array() && value.size() == 2 && value[0].is_number_unsigned() && value[1].is_binary()
                       && value[1].get_binary().size() == ref.digest.size();
    if (!valid) {
        return std::nullopt;
    }
    ref.version = value[0].get<std::uint64_t>();
    const auto &bytes = value[1].get_binary();
    std::copy(bytes.begin(), bytes.end(), ref.digest.begin());
    return ref;
}

json encodeAnnouncement(const DocumentAnnouncement &announcement)
{
    return encodePair(announcement.activeDocument, announcement.newest);
}

std::optional<DocumentAnnouncement> decodeAnnouncement(const json &value)
{
    const auto pair = decodePair(value);
    return pair ? std::optional(DocumentAnnouncement{pair->first, pair->second}) : std::nullopt;
}

json encodeQuery(const DocumentQuery &query)
{
    return encodePair(query.from, query.seen);
}

std::optional<DocumentQuery> decodeQuery(const json &value)
{
    const auto pair = decodePair(value);
    return pair ? std::optional(DocumentQuery{pair->first, pair->second}) : std::nullopt;
}

std::string toMessagePack(const json &value)
{
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

json fromMessagePack(std::string_view bytes)
{
    auto value = decodeMessagePack(bytes);
    return value.is_discarded() ? json() : value;
}

} // namespace turmericline
