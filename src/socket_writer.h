#pragma once

#include "http_server.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericline {

/** Output buffer of a non-blocking socket. Writes as much as the socket accepts and buffers the rest. */
class SocketWriter
{
public:
    explicit SocketWriter(asio::ip::tcp::socket &socket)
        : m_socket(socket)
    {
    }

    /** Writes as much of @p bytes as possible and buffers the rest; returns the error of the socket, if any. */
    asio::error_code write(std::string_view bytes);
    /** Writes buffered bytes; to be called when the socket is writable. */
    asio::error_code flush();

    std::size_t pending() const
    {
        return m_pending.size() - m_offset;
    }

    /** Total number of bytes written to the socket. */
    std::uint64_t written() const
    {
        return m_written;
    }

private:
    asio::ip::tcp::socket &m_socket;
    std::string m_pending;
    std::size_t m_offset = 0;
    std::uint64_t m_written = 0;
};

/** Sets the options of the gateway's sockets: non-blocking, no delay, keep-alive, and timeouts to detect dead peers. */
void prepareSocket(asio::ip::tcp::socket &socket, asio::error_code &ec);

/** Formats header fields as lines that end in CR LF. */
std::string headerLines(const HttpHeaders &headers);

} // namespace turmericline
