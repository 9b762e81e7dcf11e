#pragma once

#include "address.h"
#include "backend_connection.h"
#include "pool_type.h"

#include <asio/any_io_executor.hpp>

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericline {

/** Pool of connections to the backend servers, by server. */
class BackendPool
{
public:
    explicit BackendPool(asio::io_context &io);

    /** Returns an idle connection or a new one; always a new one if @p forceNew. nullptr if @p address is malformed. */
    std::shared_ptr<BackendConnection>
    take(TimePoint now, const std::string &server, const std::string &address, bool forceNew);
    void tick(TimePoint now);
    /** Closes the idle connections to a server that stopped responding; they are probably broken as well. */
    void dropIdle(const std::string &server);
    /** Closes all connections. */
    void stop();

    asio::any_io_executor executor() const
    {
        return m_io.get_executor();
    }

    std::uint64_t openedCount() const
    {
        return m_opened;
    }

private:
    asio::io_context &m_io;
    std::unordered_map<std::string, std::vector<std::shared_ptr<BackendConnection>>, StringHash, std::equal_to<>>
        m_servers;
    std::uint64_t m_opened = 0;
};

} // namespace turmericline
