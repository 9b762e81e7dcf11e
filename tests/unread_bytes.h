#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <fstream>
#include <sstream>
#include <string>

/** Returns the bytes that the kernel holds because the process that listens on @p port has not read them yet. */
inline std::uint64_t unreadBytes(const std::string &port)
{
    constexpr const char *established = "01"; // In /proc/net/tcp.
    const auto suffix = fmt::format(":{:04X}", std::stoi(port));
    std::ifstream file("/proc/net/tcp");
    std::uint64_t bytes = 0;
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        if (local.ends_with(suffix) && state == established) {
            bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes;
}
