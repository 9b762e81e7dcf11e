#pragma once

#include "verdict_type.h"

#include <string_view>

namespace turmericline {

/** Abstract Unix socket that only one process of a host can hold; the kernel frees it when the holder dies. */
class ExclusiveSocket
{
public:
    /** Throws std::system_error if another process holds @p name. */
    explicit ExclusiveSocket(std::string_view name);
    ~ExclusiveSocket();
    ExclusiveSocket(const ExclusiveSocket &) = delete;
    ExclusiveSocket &operator=(const ExclusiveSocket &) = delete;

private:
    int m_fd;
};

} // namespace turmericline
