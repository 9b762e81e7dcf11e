#include "rank_load_reader.h"

#include "log.h"
#include "rank_load.h"
#include "rank_type.h"

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** The coordinator sends the loads at the same interval, so faster polling would give no newer ones. */
constexpr std::chrono::milliseconds queryPeriod{100};
/** Interval after a failed query. The next one goes to another agent. */
constexpr std::chrono::milliseconds failurePeriod{200};
constexpr std::chrono::milliseconds queryTimeout{250};

} // namespace

RankLoadReader::RankLoadReader(asio::io_context &io,
                               BackendTable &backends,
                               std::uint16_t agentPort,
                               std::mt19937_64 &random)
    : m_backends(backends)
    , m_agentPort(agentPort)
    , m_random(random)
    , m_caller(io)
{
}

void RankLoadReader::tick(TimePoint now)
{
    m_caller.tick(now);
    if (m_agentPort == 0) {
        return;
    }
    for (const auto &name : m_backends.groups()) {
        auto &group = m_groups[name];
        if (group.isQueryPending || now < group.nextQueryAt) {
            continue;
        }
        if (const auto *server = m_backends.chooseNearRank(name, m_random)) {
            group.isQueryPending = true;
            group.nextQueryAt = now + queryPeriod;
            queryAgent(now, *server);
        }
    }
}

void RankLoadReader::queryAgent(TimePoint now, const BackendRecord &server)
{
    m_backends.onGroupLoadsQueried(server.group);
    m_caller.get(now,
                 server.address.substr(0, server.address.rfind(':') + 1) + std::to_string(m_agentPort),
                 std::string(loadsTarget),
                 queryTimeout,
                 [this, name = server.group, now](const std::optional<HttpReply> &reply, const std::string &reason) {
                     onReply(name, now, reply, reason);
                 });
}

/** The loads are no older than their stated age at the time of the query. */
void RankLoadReader::onReply(const std::string &name,
                             TimePoint queriedAt,
                             const std::optional<HttpReply> &reply,
                             const std::string &reason)
{
    auto &group = m_groups[name];
    group.isQueryPending = false;
    const auto loads = decodeReply(reply, reason, decodeGroupLoads);
    if (!loads || loads.value->group != name) {
        group.nextQueryAt = std::chrono::steady_clock::now() + failurePeriod;
        logEvent(LogLevel::Debug, "loads of a group not read", {{"group", name}, {"reason", loads.reason}});
        return;
    }
    m_backends.onGroupLoads(queriedAt - loads.value->age, name, loads.value->ranks);
}

} // namespace turmericline
