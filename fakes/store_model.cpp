#include "store_model.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace turmericline::fakes {

namespace {

using Json = nlohmann::json;

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const auto n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                   reinterpret_cast<const unsigned char *>(bytes.data()),
                                   static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

} // namespace

void StoreModel::put(const std::string &key, const std::string &value)
{
    m_items[key] = {value, ++m_revision, false};
}

void StoreModel::remove(const std::string &key)
{
    m_items[key] = {"", ++m_revision, true};
}

void StoreModel::dropHistory()
{
    m_firstRevision = m_revision;
}

void StoreModel::restore(const StoreModel &copy)
{
    const auto era = m_era + 1;
    *this = copy;
    m_era = era;
}

void StoreModel::setStatesEra(bool statesEra)
{
    m_statesEra = statesEra;
}

HttpHeaders StoreModel::headers() const
{
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (m_statesEra) {
        headers.emplace_back("Store-Era", std::to_string(m_era));
    }
    return headers;
}

HttpReply StoreModel::range(const std::string &prefix, const std::string &afterKey, std::size_t limit) const
{
    Json items = Json::array();
    bool isTruncated = false;
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= afterKey || item.isDeleted) {
            continue;
        }
        isTruncated = items.size() == limit;
        if (isTruncated) {
            break;
        }
        items.push_back({{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
    }
    const Json body{{"items", items}, {"truncated", isTruncated}, {"current_rev", m_revision}};
    return {200, headers(), body.dump()};
}

std::optional<HttpReply> StoreModel::watch(const std::string &prefix, std::uint64_t after, bool isWaitOver) const
{
    if (after > m_revision || after < m_firstRevision) {
        return HttpReply{410, headers(), "{}"};
    }
    Json events = Json::array();
    for (const auto &[key, item] : m_items) {
        if (!key.starts_with(prefix) || item.revision <= after) {
            continue;
        }
        if (item.isDeleted) {
            events.push_back({{"key", key}, {"revision", item.revision}, {"deleted", true}});
        } else {
            events.push_back({{"key", key}, {"value", base64(item.value)}, {"revision", item.revision}});
        }
    }
    if (events.empty() && !isWaitOver) {
        return std::nullopt;
    }
    const Json body{{"events", events}, {"current_rev", m_revision}};
    return HttpReply{200, headers(), body.dump()};
}

std::optional<std::string> StoreModel::value(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() || it->second.isDeleted ? std::nullopt : std::optional(it->second.value);
}

} // namespace turmericline::fakes
