#include "exclusive_socket.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstring>
#include <string>
#include <system_error>

namespace turmericline {

ExclusiveSocket::ExclusiveSocket(std::string_view name)
    : m_fd(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (m_fd < 0) {
        throw std::system_error(errno, std::generic_category(), "cannot create a Unix socket");
    }
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    // A leading zero byte selects the abstract namespace, so that no file has to be removed.
    const auto n = std::min(name.size(), sizeof(address.sun_path) - 1);
    std::memcpy(address.sun_path + 1, name.data(), n);
    const auto size = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + n);
    if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), size) != 0) {
        const int error = errno;
        ::close(m_fd);
        throw std::system_error(error, std::generic_category(), "another process holds \"" + std::string(name) + "\"");
    }
}

ExclusiveSocket::~ExclusiveSocket()
{
    ::close(m_fd);
}

} // namespace turmericline
