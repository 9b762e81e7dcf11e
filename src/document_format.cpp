#include "document_format.h"

#include <asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace turmericline {

namespace {

bool isAlnum(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
}

/** Returns whether the text starts with a letter or digit and has only these and the characters of @p others. */
bool isWord(std::string_view text, std::string_view others)
{
    return !text.empty() && text.size() <= 64 && isAlnum(text.front()) && std::ranges::all_of(text, [&](char c) {
        return isAlnum(c) || others.find(c) != std::string_view::npos;
    });
}

bool isText(std::string_view text)
{
    return !text.empty() && text.size() <= 128 && std::ranges::none_of(text, isControl);
}

bool isName(std::string_view text)
{
    return isWord(text, "._-");
}

bool isServerName(std::string_view text)
{
    return isWord(text, "_-");
}

/** 16 bytes fill 21 characters and 2 bits of the last one, which therefore has only four valid values. */
bool isKeyDigest(std::string_view text)
{
    return text.size() == 22 && std::string_view("AQgw").find(text.back()) != std::string_view::npos
           && std::ranges::all_of(text, [](char c) {
                  return isAlnum(c) || c == '_' || c == '-';
              });
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc{} && end == text.data() + text.size() && text.front() != '0' && port <= 65535;
}

bool isEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    asio::error_code ec;
    const auto address = asio::ip::make_address(std::string(host), ec);
    return !ec && address.is_v6() == bracketed && host.find_first_of(std::string_view("%\0", 2)) == host.npos;
}

bool isTimeOfDay(std::string_view text)
{
    return parseTimeOfDay(text).has_value();
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 16 && std::ranges::all_of(text, [](char c) {
        return c >= 'A' && c <= 'Z';
    });
}

bool isCallPath(std::string_view text)
{
    return !text.empty() && text.size() <= 256 && text.front() == '/' && text.find('*') >= text.size() - 1
           && std::ranges::all_of(text, [](char c) {
                  return isAlnum(c) || std::string_view("/-._~!$&'()*+,;=:@").find(c) != std::string_view::npos;
              });
}

/** Server names must not contain '.', because a ticket separates the server name from its other parts with dots. */
constexpr std::array<TextFormatRow, 8> rows{{
    {TextFormat::Text, "^[^\\u0000-\\u001f\\u007f]{1,128}$", "1 to 128 bytes without control characters", isText},
    {TextFormat::Name,
     "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$",
     "a name of at most 64 letters, digits, '.', '_' and '-' that starts with a letter or digit",
     isName},
    {TextFormat::ServerName,
     "^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$",
     "a name of at most 64 letters, digits, '_' and '-' that starts with a letter or digit",
     isServerName},
    {TextFormat::KeyDigest, "^[A-Za-z0-9_-]{21}[AQgw]$", "16 bytes as 22 characters of base64url", isKeyDigest},
    {TextFormat::Endpoint,
     "^([0-9.]{7,15}|\\[[0-9A-Fa-f:.]{2,45}\\]):[1-9][0-9]{0,4}$",
     "IP:PORT, with an IPv6 address in brackets",
     isEndpoint},
    {TextFormat::TimeOfDay, "^([01][0-9]|2[0-3]):[0-5][0-9]$", "a time of day HH:MM", isTimeOfDay},
    {TextFormat::Method, "^[A-Z]{1,16}$", "an HTTP method in capital letters", isMethod},
    {TextFormat::CallPath,
     "^/[A-Za-z0-9/._~!$&'()+,;=:@-]{0,255}\\*?$",
     "a path that starts with '/', without escapes or query, with '*' only at its end",
     isCallPath},
}};

} // namespace

const TextFormatRow &textFormat(TextFormat format)
{
    return rows[static_cast<std::size_t>(format)];
}

std::optional<int> parseTimeOfDay(std::string_view text)
{
    const auto digit = [&](std::size_t i) {
        return text[i] >= '0' && text[i] <= '9' ? text[i] - '0' : 100;
    };
    if (text.size() != 5 || text[2] != ':') {
        return std::nullopt;
    }
    const int hours = digit(0) * 10 + digit(1);
    const int minutes = digit(3) * 10 + digit(4);
    if (hours > 23 || minutes > 59) {
        return std::nullopt;
    }
    return hours * 60 + minutes;
}

} // namespace turmericline
