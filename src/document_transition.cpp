#include "document.h"

#include <fmt/format.h>

namespace turmericline {

namespace {

/**
 * The slot of a key is its hash modulo the number of owners. A longer list leaves every key with its owner only if its
 * length is a multiple of the old length and it repeats the old owners, so owner i is compared with old owner i modulo
 * the old length.
 */
void checkOwners(const Service &from,
                 const Service &to,
                 const Document &document,
                 const std::string &path,
                 std::vector<DocumentError> &errors)
{
    const auto n = from.keyOwners.size();
    if (to.keyOwners.size() < n || to.keyOwners.size() % n != 0) {
        errors.push_back({path,
                          fmt::format("length {} is not a multiple of the old length {}, so keys would move "
                                      "between owners",
                                      to.keyOwners.size(),
                                      n)});
        return;
    }
    for (std::size_t i = 0; i < to.keyOwners.size(); ++i) {
        const auto &old = from.keyOwners[i % n];
        if (to.keyOwners[i] != old && document.servers.find(old).isValid()) {
            errors.push_back(
                {fmt::format("{}[{}]", path, i),
                 fmt::format("slot moves from {} to {}, but {} is still listed", old, to.keyOwners[i], old)});
        }
    }
}

} // namespace

std::vector<DocumentError> checkTransition(const Document &from, const Document &to)
{
    std::vector<DocumentError> errors;
    if (from.keyLifetime != to.keyLifetime) {
        // Agents drop keys after the old lifetime, so with a longer one a resent key could run twice.
        errors.push_back({"$.key_lifetime_s", "cannot be changed while the fleet runs"});
    }
    std::size_t i = 0;
    for (const auto &it : to.services) {
        const auto path = fmt::format("$.services[{}].key_owners", i++);
        const auto old = from.services.find(it.name);
        if (old.isValid() && !from.services[old].keyOwners.empty()) {
            checkOwners(from.services[old], it, to, path, errors);
        }
    }
    return errors;
}

} // namespace turmericline
