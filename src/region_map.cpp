#include "region_map.h"

#include <algorithm>

namespace turmericline {

namespace {

bool isAllowed(const std::vector<std::string> &regions, const std::string &region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

std::optional<std::set<std::string>> RegionMap::allowedDomains(const RoutingRule &rule,
                                                               const RoutingWorkspace *workspace) const
{
    const bool hasWorkspaceRegions = workspace != nullptr && !workspace->allowedRegions.empty();
    if (rule.allowedRegions.empty() && !hasWorkspaceRegions) {
        return std::nullopt;
    }
    std::set<std::string> domains;
    for (const auto &[domain, region] : regions) {
        const bool isWorkspaceAllowed = !hasWorkspaceRegions || isAllowed(workspace->allowedRegions, region);
        if (isAllowed(rule.allowedRegions, region) && isWorkspaceAllowed) {
            domains.insert(domain);
        }
    }
    return domains;
}

RegionMap parseRegions(const std::vector<std::string> &items)
{
    RegionMap map;
    for (const auto &it : items) {
        const auto colon = it.find(':');
        map.regions[it.substr(0, colon)] = it.substr(colon + 1);
    }
    return map;
}

std::string checkRegion(const std::string &value)
{
    const auto colon = value.find(':');
    const bool isValid = colon != std::string::npos && colon > 0 && colon + 1 < value.size();
    return isValid ? "" : "DOMAIN:REGION";
}

} // namespace turmericline
