#include "document.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace turmericline {

namespace {

bool matches(const ServiceCall &call, std::string_view method, std::string_view path)
{
    if (call.method != method) {
        return false;
    }
    const std::string_view pattern = call.path;
    return pattern.ends_with('*') ? path.starts_with(pattern.substr(0, pattern.size() - 1)) : path == pattern;
}

/** A backend server may decode or normalise such a path to another one, so no row reliably describes the call. */
bool isAmbiguous(std::string_view path)
{
    return path.find_first_of("%\\") != path.npos || path.find("/.") != path.npos || path.find("//") != path.npos;
}

} // namespace

std::string keyDigest(std::string_view key)
{
    constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.data());
    hash[16] = 0; // Pads the last character, which holds only 2 bits of the digest.
    std::string text;
    for (std::size_t bit = 0; bit < 128; bit += 6) {
        const unsigned pair = (hash[bit / 8] << 8U) | hash[bit / 8 + 1];
        text += alphabet[(pair >> (10 - bit % 8)) & 63U];
    }
    return text;
}

Id<Workspace> findWorkspaceByKey(const Document &document, std::string_view digest)
{
    const auto it = document.workspaceByKey.find(digest);
    return it == document.workspaceByKey.end() ? Id<Workspace>{} : it->second;
}

bool isIdempotentCall(const Service &service, std::string_view method, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    if (isAmbiguous(path)) {
        return service.idempotent && std::ranges::all_of(service.calls, &ServiceCall::idempotent);
    }
    const auto it = std::ranges::find_if(service.calls, [&](const auto &call) {
        return matches(call, method, path);
    });
    return it == service.calls.end() ? service.idempotent : it->idempotent;
}

std::span<const Id<BackendServer>> serversOf(const Document &document, Id<Service> service)
{
    return document.serversByService[service.index];
}

} // namespace turmericline
