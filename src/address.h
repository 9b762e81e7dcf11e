#pragma once

#include "verdict_type.h"

#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmericline {

/** Splits "IP:PORT" into address and port; IPv6 addresses are in brackets. */
Result<std::pair<std::string, std::uint16_t>> parseAddress(std::string_view text);

/** Parses "IP:PORT" as an endpoint; std::nullopt if malformed. */
std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

/** Like parseEndpoint(), but throws std::invalid_argument if malformed. */
asio::ip::tcp::endpoint requireEndpoint(const std::string &address);

} // namespace turmericline
