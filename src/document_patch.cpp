#include "document_patch.h"

#include "document_field.h"

#include <openssl/sha.h>

#include <algorithm>
#include <unordered_set>

namespace turmericline {

namespace {

using Json = nlohmann::json;
using Names = std::unordered_set<std::string_view>;

std::string_view nameOfRow(const Json &row)
{
    if (!row.is_object()) {
        return {};
    }
    const auto it = row.find("name");
    return it != row.end() && it->is_string() ? std::string_view(it->get_ref<const std::string &>())
                                              : std::string_view();
}

/** Returns the names of all rows, or nothing if a row has no name or two rows have the same. */
std::optional<Names> namesOfRows(const Json &rows)
{
    Names names;
    names.reserve(rows.size());
    for (const auto &it : rows) {
        const auto name = nameOfRow(it);
        if (name.empty() || !names.insert(name).second) {
            return std::nullopt;
        }
    }
    return names;
}

void append(Json &patch, Json more)
{
    for (auto &it : more) {
        patch.push_back(std::move(it));
    }
}

/**
 * Compares two tables, matching rows by name. The diff of nlohmann matches array elements by index, so that one row
 * inserted at the front would rewrite every row after it. Returns nothing if names are not unique or rows have been
 * reordered.
 */
std::optional<Json> diffRows(const Json &from, const Json &to, const std::string &path)
{
    const auto oldNames = namesOfRows(from);
    const auto newNames = namesOfRows(to);
    if (!oldNames || !newNames) {
        return std::nullopt;
    }
    auto patch = Json::array();
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < from.size() || j < to.size()) {
        const auto at = path + "/" + std::to_string(j);
        if (i < from.size() && !newNames->contains(nameOfRow(from[i]))) {
            patch.push_back({{"op", "remove"}, {"path", at}});
            ++i;
        } else if (j < to.size() && !oldNames->contains(nameOfRow(to[j]))) {
            patch.push_back({{"op", "add"}, {"path", at}, {"value", to[j]}});
            ++j;
        } else if (i < from.size() && j < to.size() && nameOfRow(from[i]) == nameOfRow(to[j])) {
            if (from[i] != to[j]) {
                append(patch, Json::diff(from[i], to[j], at));
            }
            ++i;
            ++j;
        } else {
            return std::nullopt;
        }
    }
    return patch;
}

bool isAllowedOperation(const Json &operation)
{
    if (!operation.is_object()) {
        return false;
    }
    const auto it = operation.find("op");
    return it != operation.end() && (*it == "add" || *it == "remove" || *it == "replace");
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

} // namespace

std::uint64_t versionOf(const Json &document)
{
    if (!document.is_object()) {
        return 0;
    }
    const auto it = document.find("version");
    if (it == document.end() || !it->is_number_unsigned()) {
        return 0;
    }
    const auto version = it->get<std::uint64_t>();
    return version <= static_cast<std::uint64_t>(maxInteger) ? version : 0;
}

std::string canonicalText(const Json &document)
{
    return document.dump();
}

DocumentDigest documentDigest(std::string_view canonicalText)
{
    DocumentDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(canonicalText.data()), canonicalText.size(), digest.data());
    return digest;
}

std::string digestText(const DocumentDigest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto it : digest) {
        text += digits[it >> 4U];
        text += digits[it & 15U];
    }
    return text;
}

std::optional<DocumentDigest> parseDigest(std::string_view text)
{
    DocumentDigest digest{};
    if (text.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.size(); ++i) {
        const int high = hexValue(text[2 * i]);
        const int low = hexValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        digest[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

Json diffDocuments(const Json &from, const Json &to)
{
    if (!from.is_object() || !to.is_object()) {
        return Json::diff(from, to);
    }
    auto patch = Json::array();
    // Everything except the tables is small, so the diff of the library is good enough for it.
    auto restFrom = Json::object();
    auto restTo = Json::object();
    for (const auto &[key, value] : to.items()) {
        const auto old = from.find(key);
        if (old == from.end()) {
            restTo[key] = value;
            continue;
        }
        if (*old == value) {
            continue;
        }
        std::optional<Json> rows;
        if (old->is_array() && value.is_array() && key.find_first_of("~/") == std::string::npos) {
            rows = diffRows(*old, value, "/" + key);
        }
        if (rows) {
            append(patch, std::move(*rows));
        } else {
            restFrom[key] = *old;
            restTo[key] = value;
        }
    }
    for (const auto &[key, value] : from.items()) {
        if (!to.contains(key)) {
            restFrom[key] = value;
        }
    }
    append(patch, Json::diff(restFrom, restTo));
    return patch;
}

std::optional<std::string> patchDocument(Json &document, const Json &patch)
{
    // Each "copy" could double the size of the document, and diffDocuments() never generates "move" or "test".
    if (!patch.is_array() || !std::ranges::all_of(patch, isAllowedOperation)) {
        return "not a list of the operations add, remove and replace";
    }
    try {
        document.patch_inplace(patch);
    } catch (const Json::exception &error) {
        return error.what();
    }
    return std::nullopt;
}

} // namespace turmericline
