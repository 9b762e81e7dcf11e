#include "address.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace turmericline {

Result<std::pair<std::string, std::uint16_t>> parseAddress(std::string_view text)
{
    using Address = std::pair<std::string, std::uint16_t>;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return Result<Address>::fail("expected IP:PORT");
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = text.substr(colon + 1);
    std::uint16_t n = 0;
    const auto [end, ec] = std::from_chars(port.data(), port.data() + port.size(), n);
    asio::error_code addressError;
    asio::ip::make_address(std::string(host), addressError);
    if (ec != std::errc() || end != port.data() + port.size() || addressError) {
        return Result<Address>::fail("expected IP:PORT");
    }
    return Result<Address>::ok({std::string(host), n});
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(asio::ip::make_address(parsed.value->first), parsed.value->second);
}

asio::ip::tcp::endpoint requireEndpoint(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        throw std::invalid_argument("malformed address " + address);
    }
    return *endpoint;
}

} // namespace turmericline
