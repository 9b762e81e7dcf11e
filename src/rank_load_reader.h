#pragma once

#include "backend_table.h"
#include "http_caller.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace turmericline {

/**
 * Updates the loads of all ranks in the backend table by polling an agent of each group. All agents have them from the
 * coordinator; a random one in the own failure domain is asked each time, so that no agent serves all gateways.
 */
class RankLoadReader
{
public:
    /** @p agentPort: port of the expert agents, which have the IP of their backend servers; 0 disables polling. */
    RankLoadReader(asio::io_context &io, BackendTable &backends, std::uint16_t agentPort, std::mt19937_64 &random);

    void tick(TimePoint now);

private:
    struct Group
    {
        bool isQueryPending = false;
        TimePoint nextQueryAt{};
    };

    void queryAgent(TimePoint now, const BackendRecord &server);
    void onReply(const std::string &name,
                 TimePoint queriedAt,
                 const std::optional<HttpReply> &reply,
                 const std::string &reason);

    BackendTable &m_backends;
    std::uint16_t m_agentPort;
    std::mt19937_64 &m_random;
    HttpCaller m_caller;
    std::map<std::string, Group> m_groups; ///< By name.
};

} // namespace turmericline
