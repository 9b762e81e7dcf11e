#pragma once

#include "stand_in.h"

namespace standin {

/**
 * The way of one machine to the store: passes bytes on. Open connections can go silent for good, without a reset, while
 * new ones work.
 */
class Path
{
public:
    Path(const std::string &ip, int storePort, std::string storeIp)
        : m_storePort(storePort)
        , m_storeIp(std::move(storeIp))
        , m_server(
              ip,
              [this](const std::shared_ptr<Peer> &peer) {
                  pass(peer);
              },
              0)
    {
        m_server.start();
    }

    std::string address() const
    {
        return m_server.address();
    }

    /**
     * The connections that are open now pass nothing on any more. After @p showAfter seconds they are reset: a keep-alive
     * of the system's own would show by then that they are dead, but a proxy cannot keep the kernel from acknowledging it.
     */
    void silenceOpenConnections(double showAfter)
    {
        m_resetAt = now() + showAfter;
        ++m_silentBefore;
    }

private:
    void pass(const std::shared_ptr<Peer> &machine)
    {
        const auto number = m_silentBefore.load();
        const auto store = connectTo(m_storeIp, m_storePort);
        if (!store) {
            machine->reset();
            return;
        }
        pollfd pollers[2] = {{machine->descriptor(), POLLIN, 0}, {store->descriptor(), POLLIN, 0}};
        char bytes[16384];
        while (m_silentBefore == number) {
            if (poll(pollers, 2, 20) <= 0) {
                continue;
            }
            for (int side = 0; side < 2; ++side) {
                if (pollers[side].revents == 0 || m_silentBefore != number) {
                    continue;
                }
                const auto n = recv(pollers[side].fd, bytes, sizeof bytes, 0);
                auto &other = side == 0 ? *store : *machine;
                if (n <= 0 || !other.send(std::string(bytes, static_cast<std::size_t>(n)))) {
                    return;
                }
            }
        }
        sleepUntil(m_resetAt);
        machine->reset();
    }

    int m_storePort;
    std::string m_storeIp;
    std::atomic<int> m_silentBefore = 0;
    std::atomic<double> m_resetAt = 0;
    Server m_server;
};

} // namespace standin
