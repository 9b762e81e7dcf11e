#pragma once

#include "http_server.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericline {

/** Bytes on their way into a non-blocking socket. Writes at once what the socket takes and keeps the rest. */
class SocketWriter
{
public:
    explicit SocketWriter(asio::ip::tcp::socket &socket)
        : m_socket(socket)
    {
    }

    /** Appends @p bytes and writes as much as possible; returns the error of the socket, if any. */
    asio::error_code write(std::string_view bytes);
    /** Writes more of what is kept; call it when the socket is writable. */
    asio::error_code flush();

    std::size_t pending() const
    {
        return m_pending.size() - m_offset;
    }

    /** Bytes that the socket took, over all messages. */
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

/** Sets what each socket of the gateway needs: no delay, non-blocking, and time limits for peers that fall silent. */
void prepareSocket(asio::ip::tcp::socket &socket, asio::error_code &ec);

/** Text of header fields, each with its line end. */
std::string headerLines(const HttpHeaders &headers);

} // namespace turmericline
