#include "socket_writer.h"

#include <netinet/tcp.h>

#include <chrono>

namespace turmericline {

namespace {

/** TCP closes the connection if sent data or keep-alive probes are not acknowledged within this time. */
constexpr std::chrono::milliseconds userTimeout{3'000};
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
/** The buffer is compacted when this many bytes at its start have been written. */
constexpr std::size_t compactBytes = 64U << 10U;

void setTcpOption(asio::ip::tcp::socket &socket, int name, int value, asio::error_code &ec)
{
    if (!ec && setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value) != 0) {
        ec = asio::error_code(errno, asio::system_category());
    }
}

} // namespace

asio::error_code SocketWriter::write(std::string_view bytes)
{
    asio::error_code ec;
    if (pending() == 0 && !bytes.empty()) {
        const auto n = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), ec);
        m_written += n;
        bytes.remove_prefix(n);
        if (ec && ec != asio::error::would_block) {
            return ec;
        }
    }
    m_pending.append(bytes);
    return {};
}

asio::error_code SocketWriter::flush()
{
    asio::error_code ec;
    const auto n = m_socket.write_some(asio::buffer(m_pending.data() + m_offset, pending()), ec);
    m_written += n;
    m_offset += n;
    if (pending() == 0) {
        m_pending.clear();
        m_offset = 0;
    } else if (m_offset > compactBytes) {
        m_pending.erase(0, m_offset);
        m_offset = 0;
    }
    return ec == asio::error::would_block ? asio::error_code() : ec;
}

void prepareSocket(asio::ip::tcp::socket &socket, asio::error_code &ec)
{
    socket.non_blocking(true, ec);
    setTcpOption(socket, TCP_NODELAY, 1, ec);
    setTcpOption(socket, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()), ec);
    if (!ec) {
        socket.set_option(asio::socket_base::keep_alive(true), ec);
    }
    setTcpOption(socket, TCP_KEEPIDLE, keepAliveIdleSeconds, ec);
    setTcpOption(socket, TCP_KEEPINTVL, keepAliveIntervalSeconds, ec);
    setTcpOption(socket, TCP_KEEPCNT, keepAliveProbes, ec);
}

std::string headerLines(const HttpHeaders &headers)
{
    std::string text;
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text;
}

} // namespace turmericline
