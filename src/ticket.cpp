#include "ticket.h"

#include <fmt/format.h>
#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <vector>

namespace turmericline {

namespace {

constexpr std::size_t maxServerName = 64;
/** Ten digits of seconds are about 300 years, and do not overflow when converted to milliseconds. */
constexpr std::size_t maxTickDigits = 10;

bool isServerName(std::string_view text)
{
    return !text.empty() && text.size() <= maxServerName && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    });
}

bool isLowerHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isTick(std::string_view text)
{
    const bool isCanonical = text == "0" || (!text.empty() && text.front() != '0');
    return isCanonical && text.size() <= maxTickDigits
           && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/** Parses digits that have been validated before. */
template<typename N>
N number(std::string_view digits, int base)
{
    N n{};
    std::from_chars(digits.data(), digits.data() + digits.size(), n, base);
    return n;
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (auto dot = text.find('.'); dot != std::string_view::npos; dot = text.find('.')) {
        parts.push_back(text.substr(0, dot));
        text.remove_prefix(dot + 1);
    }
    parts.push_back(text);
    return parts;
}

void fillRandom(unsigned char *to, std::size_t n)
{
    if (RAND_bytes(to, static_cast<int>(n)) != 1) {
        throw std::runtime_error("OpenSSL has no random bytes");
    }
}

} // namespace

std::string formatTicket(const Ticket &ticket)
{
    return fmt::format(
        "t1.{}.{:016x}.{}.{:02x}", ticket.server, ticket.incarnation, ticket.tick, fmt::join(ticket.nonce, ""));
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    const auto parts = split(text);
    if (parts.size() != 5 || parts[0] != "t1" || !isServerName(parts[1]) || parts[2].size() != 16
        || !isLowerHex(parts[2]) || !isTick(parts[3]) || parts[4].size() != 24 || !isLowerHex(parts[4])) {
        return std::nullopt;
    }
    Ticket ticket;
    ticket.server = parts[1];
    ticket.incarnation = number<std::uint64_t>(parts[2], 16);
    ticket.tick = number<std::uint64_t>(parts[3], 10);
    for (std::size_t i = 0; i < ticket.nonce.size(); ++i) {
        ticket.nonce[i] = number<std::uint8_t>(parts[4].substr(2 * i, 2), 16);
    }
    return ticket;
}

Ticket makeTicket(std::string server, std::uint64_t incarnation, std::uint64_t tick)
{
    Ticket ticket{std::move(server), incarnation, tick, {}};
    fillRandom(ticket.nonce.data(), ticket.nonce.size());
    return ticket;
}

std::uint64_t makeIncarnation()
{
    std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
    fillRandom(bytes.data(), bytes.size());
    std::uint64_t n = 0;
    for (const auto it : bytes) {
        n = n << 8 | it;
    }
    return n;
}

std::uint64_t tickLowerBound(std::uint64_t reportedTick,
                             std::chrono::steady_clock::time_point ageReceivedAt,
                             std::chrono::steady_clock::time_point when)
{
    const auto elapsed = when - ageReceivedAt;
    // The rates of two monotonic clocks differ by far less than 1 in 1,000.
    const auto guaranteedElapsed = elapsed.count() > 0 ? elapsed - elapsed / 1000 : elapsed;
    const auto seconds = std::chrono::floor<std::chrono::seconds>(guaranteedElapsed).count();
    const auto tick = static_cast<std::int64_t>(reportedTick) + seconds;
    return static_cast<std::uint64_t>(std::max<std::int64_t>(tick, 0));
}

} // namespace turmericline
