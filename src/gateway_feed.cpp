#include "gateway_feed.h"

#include <algorithm>

namespace turmericline {

namespace {

/** Subtracted from the bound on removed keys, to allow for the transit time of a request and one tick. */
constexpr std::chrono::milliseconds freshnessMargin{300};
/** Minimum time between server reads. Servers keep serving for 2 s after they announce that they leave. */
constexpr std::chrono::milliseconds serverWatchPeriod{400};
/** Each gateway sends 2 reads; with this, 1,900 gateways send 4,000 a second. */
constexpr std::chrono::microseconds rereadSpreadPerGateway{500};
constexpr std::chrono::milliseconds minRereadSpread{100};

} // namespace

StoreFeedConfig configFeedConfig(std::string prefix)
{
    StoreFeedConfig config;
    config.prefix = std::move(prefix);
    config.settleTime = rewriteTime;
    config.watchWait = configWatchWait;
    return config;
}

StoreFeedConfig serverFeedConfig(std::string prefix)
{
    StoreFeedConfig config;
    config.prefix = std::move(prefix);
    config.watchWait = serverWatchWait;
    config.minCallPeriod = serverWatchPeriod;
    return config;
}

std::chrono::milliseconds rereadSpread(std::size_t gateways)
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(rereadSpreadPerGateway * gateways), minRereadSpread);
}

ConfigFreshness
configFreshness(std::optional<BootTime> confirmedAt, BootTime now, std::chrono::milliseconds revokeBound)
{
    if (!confirmedAt) {
        return ConfigFreshness::Missing;
    }
    return now - *confirmedAt < revokeBound - freshnessMargin ? ConfigFreshness::Recent : ConfigFreshness::Stale;
}

} // namespace turmericline
