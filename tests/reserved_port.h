#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <fcntl.h>

#include <cstdint>
#include <string>

/**
 * A port of the loopback address that stays the same while the process that listens at it is down. The port comes from the
 * range of outgoing connections, so any other process could be given it meanwhile. A socket that is bound to the port and
 * does not listen prevents that, and does not prevent the process from listening.
 */
class ReservedPort
{
public:
    explicit ReservedPort(asio::io_context &io)
        : m_socket(io, asio::ip::tcp::v4())
    {
        ::fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
        m_socket.set_option(asio::socket_base::reuse_address(true));
        m_socket.bind({asio::ip::address_v4::loopback(), 0});
    }

    std::uint16_t number() const
    {
        return m_socket.local_endpoint().port();
    }

    /** "127.0.0.1:PORT" */
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(number());
    }

private:
    asio::ip::tcp::socket m_socket;
};
