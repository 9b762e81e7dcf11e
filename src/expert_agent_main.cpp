#include "daemon.h"
#include "expert_agent.h"
#include "platform_dialect.h"
#include "platform_rank.h"

using namespace turmericline;

namespace {

/** The agent with the platform dialects that this program is built for. */
class PlatformExpertAgent : public ExpertAgent
{
public:
    PlatformExpertAgent(asio::io_context &io, const ExpertAgentSettings &settings)
        : ExpertAgent(io, settings, platformDialect(), platformRankDialect())
    {
    }
};

} // namespace

int main(int argc, char **argv)
{
    return runDaemon<PlatformExpertAgent>(
        "turmericline-expert-agent",
        expertAgentSettingRows,
        [](SettingsParseResult<ExpertAgentSettings> &) {},
        &ExpertAgentSettings::name,
        [](const ExpertAgent &agent) {
            return nlohmann::json{{"peer_port", agent.port()}};
        },
        argc,
        argv,
        LogTarget::StandardOutput);
}
