#include "gateway_dialect.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace turmericline {

namespace {

constexpr std::array<std::string_view, 9> hopByHopHeaders{{
    "Connection",
    "Content-Length",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
}};

} // namespace

bool isHopByHop(std::string_view header)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [header](std::string_view it) {
        return equalsIgnoringCase(it, header);
    });
}

std::string retryAfterText(std::chrono::milliseconds time)
{
    std::array<char, 32> buf{};
    const auto n = std::snprintf(buf.data(), buf.size(), "%.3f", std::chrono::duration<double>(time).count());
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

} // namespace turmericline
