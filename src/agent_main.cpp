#include "agent.h"
#include "daemon.h"

using namespace turmericline;

namespace {

void checkSettingCombinations(SettingsParseResult<AgentSettings> &parse)
{
    const auto &s = parse.settings;
    if (s.peerKeys.size() > 2) {
        parse.errors.push_back({"peer-key", "", "at most two keys"});
    }
    if (s.configUrl.empty() && s.peers.empty()) {
        parse.errors.push_back({"config-url", "", "a configuration service or at least one peer"});
    }
}

} // namespace

int main(int argc, char **argv)
{
    return runDaemon<Agent>(
        "turmericline-agent",
        agentSettingRows,
        checkSettingCombinations,
        &AgentSettings::server,
        [](const Agent &agent) {
            return nlohmann::json{{"port", agent.port()}, {"ops_port", agent.opsPort()}};
        },
        argc,
        argv);
}
