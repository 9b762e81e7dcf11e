#include "daemon.h"
#include "gateway.h"
#include "platform_dialect.h"

#include <malloc.h>

using namespace turmericline;

namespace {

/** Gateway that uses the protocol of the platform that this program is built for. */
class PlatformGateway : public Gateway
{
public:
    PlatformGateway(asio::io_context &io, const GatewaySettings &settings)
        : Gateway(io, settings, platformDialect())
    {
    }
};

/** Larger blocks get mappings of their own, which go back to the system when they are freed: the bodies of requests. */
constexpr int mappingThresholdBytes = 128 << 10;

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, mappingThresholdBytes);
    return runDaemon<PlatformGateway>(
        "turmericline-gateway",
        gatewaySettingRows,
        [](SettingsParseResult<GatewaySettings> &) {},
        &GatewaySettings::name,
        [](const Gateway &gateway) {
            return nlohmann::json{
                {"port", gateway.port()}, {"ready_port", gateway.readyPort()}, {"peer_port", gateway.peerPort()}};
        },
        argc,
        argv,
        LogTarget::StandardOutput);
}
