#include "caller_tls.h"
#include "daemon.h"
#include "entry.h"

using namespace turmericline;

namespace {

void checkSettingCombinations(SettingsParseResult<EntrySettings> &parse)
{
    const auto &s = parse.settings;
    if (s.tlsCertificate.empty() != s.tlsKey.empty()) {
        parse.errors.push_back({"tls-key", s.tlsKey, "tls-certificate and tls-key together, or neither"});
    }
    if (!s.tlsCertificate.empty() && !s.tlsKey.empty()) {
        const auto errors = makeCallerTls(s.tlsCertificate, s.tlsKey).errors;
        parse.errors.insert(parse.errors.end(), errors.begin(), errors.end());
    }
    if (s.peerKeys.size() > 2) {
        parse.errors.push_back({"peer-key", "", "at most two keys"});
    }
    if (s.configUrl.empty() && s.peers.empty()) {
        parse.errors.push_back({"config-url", "", "a configuration service or at least one peer"});
    }
    if (s.defaultDeadline > s.maxDeadline) {
        parse.errors.push_back({"default-deadline-ms",
                                std::to_string(s.defaultDeadline.count()),
                                "at most max-deadline-ms, " + std::to_string(s.maxDeadline.count())});
    }
}

} // namespace

int main(int argc, char **argv)
{
    return runDaemon<Entry>(
        "turmericline-entry",
        entrySettingRows,
        checkSettingCombinations,
        &EntrySettings::name,
        [](const Entry &entry) {
            return nlohmann::json{
                {"port", entry.port()}, {"ops_port", entry.opsPort()}, {"peer_port", entry.peerPort()}};
        },
        argc,
        argv);
}
