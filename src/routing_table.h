#pragma once

#include "pool_type.h"
#include "routing_type.h"

#include <functional>
#include <string_view>
#include <unordered_map>

namespace turmericline {

template<typename T>
using TextMap = std::unordered_map<std::string, T, StringHash, std::equal_to<>>;

/** Lookup tables for one version of the configuration. A request keeps the table that it was routed with. */
class RoutingTable
{
public:
    explicit RoutingTable(RoutingConfig config);
    RoutingTable(const RoutingTable &) = delete;
    RoutingTable &operator=(const RoutingTable &) = delete;

    /** Returns the rule of @p host with the longest prefix of @p path; nullptr if there is none. */
    const RoutingRule *findRule(std::string_view host, std::string_view path) const;
    /** Returns the workspace that @p key belongs to; nullptr if there is none. */
    const RoutingWorkspace *findWorkspace(std::string_view key) const;
    const RoutingService *findService(std::string_view name) const;
    /** Returns a target of @p rule, chosen by weight; @p random must be uniform in [0, 1). */
    static const std::string &chooseService(const RoutingRule &rule, double random);

    bool needsKeys() const
    {
        return !m_config.workspaces.empty();
    }

    const RoutingConfig &config() const
    {
        return m_config;
    }

private:
    RoutingConfig m_config;
    TextMap<TextMap<const RoutingRule *>> m_rules; ///< By host, then prefix.
    TextMap<const RoutingWorkspace *> m_workspaces; ///< By key.
    TextMap<const RoutingService *> m_services;
};

} // namespace turmericline
