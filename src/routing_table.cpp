#include "routing_table.h"

#include <numeric>

namespace turmericline {

RoutingTable::RoutingTable(RoutingConfig config)
    : m_config(std::move(config))
{
    for (const auto &it : m_config.rules) {
        m_rules[it.host][it.prefix] = &it;
    }
    for (const auto &workspace : m_config.workspaces) {
        for (const auto &key : workspace.keys) {
            m_workspaces[key] = &workspace;
        }
    }
    for (const auto &it : m_config.services) {
        m_services[it.name] = &it;
    }
}

const RoutingRule *RoutingTable::findRule(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_rules.find(host);
    if (prefixes == m_rules.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so one lookup per slash of the path is enough, however many rules there are.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        if (const auto it = prefixes->second.find(path.substr(0, end + 1)); it != prefixes->second.end()) {
            return it->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const RoutingWorkspace *RoutingTable::findWorkspace(std::string_view key) const
{
    const auto it = m_workspaces.find(key);
    return it == m_workspaces.end() ? nullptr : it->second;
}

const RoutingService *RoutingTable::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const std::string &RoutingTable::chooseService(const RoutingRule &rule, double random)
{
    const auto sum = std::accumulate(rule.targets.begin(), rule.targets.end(), 0.0, [](double n, const auto &it) {
        return n + it.weight;
    });
    double rest = random * sum;
    for (const auto &it : rule.targets) {
        rest -= it.weight;
        if (rest < 0) {
            return it.service;
        }
    }
    return rule.targets.back().service;
}

} // namespace turmericline
