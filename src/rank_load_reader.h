#pragma once

#include "backend_table.h"
#include "http_caller.h"

#include <map>
#include <memory>
#include <string>

namespace turmericline {

/** Updates the loads of all ranks in the backend table by polling the coordinator of each group. */
class RankLoadReader
{
public:
    /** @p agentPort: port of the expert agents, which have the IP of their backend servers; 0 disables polling. */
    RankLoadReader(asio::io_context &io, BackendTable &backends, std::uint16_t agentPort);

    void tick(TimePoint now);

private:
    struct Group
    {
        bool isQueryPending = false;
        TimePoint nextQueryAt{};
    };

    void queryCoordinator(TimePoint now, const std::string &name, const std::string &address);
    void onReply(const std::string &name, const std::optional<HttpReply> &reply, const std::string &reason);

    BackendTable &m_backends;
    std::uint16_t m_agentPort;
    HttpCaller m_caller;
    std::map<std::string, Group> m_groups; ///< By name.
};

} // namespace turmericline
