#include "store_config.h"

#include "log.h"

#include <algorithm>

namespace turmericline {

std::optional<RoutingConfig>
newerConfig(const GatewayDialect &dialect, const StoreChange &change, std::uint64_t activeVersion)
{
    std::optional<RoutingConfig> newest;
    for (const auto &it : change.items) {
        if (it.key != dialect.configKey || it.isDeleted) {
            continue;
        }
        auto config = dialect.readConfig(it.value);
        if (!config) {
            logEvent(LogLevel::Error, "invalid configuration, keeping the current one", {{"reason", config.reason}});
        } else if (config.value->version > std::max(activeVersion, newest ? newest->version : 0)) {
            newest = std::move(config.value);
        }
    }
    return newest;
}

} // namespace turmericline
