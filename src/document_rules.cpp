#include "document_rules.h"

#include "document.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_set>

namespace turmericline {

namespace {

bool hasOnlyIdempotentCalls(const Service &service)
{
    return service.idempotent && std::ranges::all_of(service.calls, &ServiceCall::idempotent);
}

void checkOwners(const Document &document,
                 const Service &service,
                 const std::string &path,
                 std::vector<DocumentError> &errors)
{
    for (std::size_t i = 0; i < service.keyOwners.size(); ++i) {
        const auto at = fmt::format("{}.key_owners[{}]", path, i);
        const auto id = document.servers.find(service.keyOwners[i]);
        if (service.keyOwners[i].empty()) {
            continue; // The error of the field itself has already been reported.
        }
        if (!id.isValid()) {
            errors.push_back({at, "refers to a backend server that is not in the document"});
        } else if (document.servers[id].service != document.services.find(service.name)) {
            errors.push_back({at, "refers to a backend server of another service"});
        }
    }
}

void checkServices(const Document &document, std::vector<DocumentError> &errors)
{
    std::size_t i = 0;
    for (const auto &it : document.services) {
        const auto path = fmt::format("$.services[{}]", i++);
        if (it.kind == ServiceKind::Model && it.model.empty()) {
            errors.push_back({path + ".model", "a model service needs the name of its model"});
        }
        if (it.kind == ServiceKind::Plain && !it.model.empty()) {
            errors.push_back({path + ".model", "a plain service must not name a model"});
        }
        if (it.keyOwners.empty() && !hasOnlyIdempotentCalls(it)) {
            errors.push_back({path + ".key_owners", "required because calls of the service are not idempotent"});
        }
        checkOwners(document, it, path, errors);
    }
}

void indexServers(Document &document, std::vector<DocumentError> &errors)
{
    std::unordered_set<std::string_view> agents;
    document.serversByService.assign(document.services.size(), {});
    std::uint32_t i = 0;
    for (const auto &it : document.servers) {
        if (it.service.isValid()) {
            document.serversByService[it.service.index].push_back({i});
        }
        if (!it.agent.empty() && !agents.insert(it.agent).second) {
            errors.push_back({fmt::format("$.backend_servers[{}].agent", i),
                              "address is already used by the agent of another backend server"});
        }
        ++i;
    }
}

void indexKeys(Document &document, std::vector<DocumentError> &errors)
{
    document.workspaceByKey.reserve(document.workspaces.size());
    std::uint32_t i = 0;
    for (const auto &it : document.workspaces) {
        for (std::size_t k = 0; k < it.keyDigests.size(); ++k) {
            const auto &digest = it.keyDigests[k];
            if (!digest.empty() && !document.workspaceByKey.emplace(digest, Id<Workspace>{i}).second) {
                errors.push_back({fmt::format("$.workspaces[{}].keys[{}]", i, k), "duplicate key digest"});
            }
        }
        ++i;
    }
}

} // namespace

void checkRules(Document &document, std::vector<DocumentError> &errors)
{
    checkServices(document, errors);
    indexServers(document, errors);
    indexKeys(document, errors);
    if (document.placement.holdFrom.has_value() != document.placement.holdUntil.has_value()) {
        errors.push_back({"$.placement", "hold_from and hold_until must be given together"});
    }
}

} // namespace turmericline
