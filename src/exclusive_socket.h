#pragma once

#include "verdict_type.h"

#include <string_view>

namespace turmericline {

/** Host-wide lock based on an abstract Unix socket; the kernel releases it when the process that holds it exits. */
class ExclusiveSocket
{
public:
    /** Throws std::system_error if the socket cannot be created or another process holds @p name. */
    explicit ExclusiveSocket(std::string_view name);
    ~ExclusiveSocket();
    ExclusiveSocket(const ExclusiveSocket &) = delete;
    ExclusiveSocket &operator=(const ExclusiveSocket &) = delete;

private:
    int m_fd;
};

} // namespace turmericline
