#include "rank_load_reader.h"

#include "log.h"
#include "rank_load.h"
#include "rank_type.h"

namespace turmericline {

using namespace std::chrono_literals;

namespace {

/** The coordinator queries its ranks at the same interval, so faster polling would give no newer loads. */
constexpr std::chrono::milliseconds queryPeriod{100};
/** Interval after a failed query. */
constexpr std::chrono::milliseconds failurePeriod{1'000};
constexpr std::chrono::milliseconds queryTimeout{250};
constexpr int statusOk = 200;

} // namespace

RankLoadReader::RankLoadReader(asio::io_context &io, BackendTable &backends, std::uint16_t agentPort)
    : m_backends(backends)
    , m_agentPort(agentPort)
    , m_caller(io)
{
}

void RankLoadReader::tick(TimePoint now)
{
    m_caller.tick(now);
    if (m_agentPort == 0) {
        return;
    }
    for (const auto &record : m_backends.serversWithRank(coordinatorRank)) {
        auto &group = m_groups[record.group];
        if (!group.isQueryPending && now >= group.nextQueryAt) {
            group.isQueryPending = true;
            queryCoordinator(now,
                             record.group,
                             record.address.substr(0, record.address.rfind(':') + 1) + std::to_string(m_agentPort));
        }
    }
}

void RankLoadReader::queryCoordinator(TimePoint now, const std::string &name, const std::string &address)
{
    m_groups[name].nextQueryAt = now + queryPeriod;
    m_backends.onGroupLoadsQueried(name);
    m_caller.get(now,
                 address,
                 std::string(loadsTarget),
                 queryTimeout,
                 [this, name](const std::optional<HttpReply> &reply, const std::string &reason) {
                     onReply(name, reply, reason);
                 });
}

void RankLoadReader::onReply(const std::string &name, const std::optional<HttpReply> &reply, const std::string &reason)
{
    const auto now = std::chrono::steady_clock::now();
    auto &group = m_groups[name];
    group.isQueryPending = false;
    auto loads = !reply                      ? Result<GroupLoads>::fail(reason)
                 : reply->status != statusOk ? Result<GroupLoads>::fail("status " + std::to_string(reply->status))
                                             : decodeGroupLoads(reply->body);
    if (!loads || loads.value->group != name) {
        group.nextQueryAt = now + failurePeriod;
        logEvent(LogLevel::Debug, "loads of a group not read", {{"group", name}, {"reason", loads.reason}});
        return;
    }
    m_backends.onGroupLoads(now, name, loads.value->ranks);
}

} // namespace turmericline
