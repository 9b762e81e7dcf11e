#include "backend_pool.h"

#include <algorithm>

namespace turmericline {

namespace {

/** A connection is not reused this close to its idle limit, since the server might close it at the same moment. */
constexpr std::chrono::milliseconds idleMargin{500};

} // namespace

BackendPool::BackendPool(asio::io_context &io)
    : m_io(io)
{
}

std::shared_ptr<BackendConnection>
BackendPool::take(TimePoint now, const std::string &server, const std::string &address, bool forceNew)
{
    auto &connections = m_servers[server];
    if (!forceNew) {
        // The most recently used connection is the least likely to be closed by the server.
        std::shared_ptr<BackendConnection> best;
        for (const auto &it : connections) {
            const bool isUsable = it->isIdle() && now - it->idleSince() + idleMargin < it->idleLimit();
            if (isUsable && (!best || it->idleSince() > best->idleSince())) {
                best = it;
            }
        }
        if (best) {
            return best;
        }
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return nullptr;
    }
    ++m_opened;
    return connections.emplace_back(std::make_shared<BackendConnection>(m_io, *endpoint));
}

void BackendPool::tick(TimePoint now)
{
    // Copied, because the handlers of a connection that times out may add another one to the pool.
    std::vector<std::shared_ptr<BackendConnection>> all;
    for (const auto &[server, connections] : m_servers) {
        all.insert(all.end(), connections.begin(), connections.end());
    }
    for (const auto &it : all) {
        it->tick(now);
    }
    for (auto &[server, connections] : m_servers) {
        std::erase_if(connections, [](const auto &it) {
            return it->isClosed();
        });
    }
    std::erase_if(m_servers, [](const auto &it) {
        return it.second.empty();
    });
}

void BackendPool::dropIdle(const std::string &server)
{
    const auto connections = m_servers.find(server);
    if (connections == m_servers.end()) {
        return;
    }
    for (const auto &it : connections->second) {
        if (it->isIdle()) {
            it->stop();
        }
    }
}

void BackendPool::stop()
{
    for (auto &[server, connections] : m_servers) {
        for (const auto &it : connections) {
            it->stop();
        }
    }
    m_servers.clear();
}

} // namespace turmericline
