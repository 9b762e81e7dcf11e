#pragma once

#include "backend_table.h"
#include "http_caller.h"

#include <map>
#include <memory>
#include <string>

namespace turmericline {

/** Keeps the table informed of the loads of all ranks: asks the coordinator of each group several times a second. */
class RankLoadReader
{
public:
    /** @p agentPort: of the agents, which share the IP of their servers; 0 if there are none. */
    RankLoadReader(asio::io_context &io, BackendTable &backends, std::uint16_t agentPort);

    void tick(TimePoint now);

private:
    struct Group
    {
        bool isAsked = false;
        TimePoint askAt{};
    };

    void ask(TimePoint now, const std::string &name, const std::string &address);
    void onReply(const std::string &name, const std::optional<HttpReply> &reply, const std::string &reason);

    BackendTable &m_backends;
    std::uint16_t m_agentPort;
    HttpCaller m_caller;
    std::map<std::string, Group> m_groups; ///< By name.
};

} // namespace turmericline
