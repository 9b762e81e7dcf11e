#pragma once

#include "routing_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmericline {

/** Regions of the failure domains, from the settings. A failure domain that is not listed belongs to no region. */
struct RegionMap
{
    std::map<std::string, std::string> regions; ///< By failure domain.

    /**
     * Returns the failure domains to which a request may go; nothing if neither list restricts it. Where both @p rule and
     * @p workspace name regions, both restrict it. @p workspace may be null.
     */
    std::optional<std::set<std::string>> allowedDomains(const RoutingRule &rule,
                                                        const RoutingWorkspace *workspace) const;
};

/** Parses the items of the setting `regions`: "DOMAIN:REGION". */
RegionMap parseRegions(const std::vector<std::string> &items);

/** Checks one item of that setting; returns what is allowed if it is invalid. */
std::string checkRegion(const std::string &value);

} // namespace turmericline
