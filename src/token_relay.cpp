#include "token_relay.h"

#include <charconv>

namespace turmericline {

namespace {

constexpr std::size_t maxEventBytes = 256U << 10U;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view finalEvent = "data: [DONE]";
constexpr std::string_view idField = "id: ";

/** Returns the value of the SSE id field, if the event has one and it is a number. */
std::optional<std::uint64_t> parseOffset(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = std::min(event.find('\n', begin), event.size());
        const auto line = event.substr(begin, end - begin);
        if (line.starts_with(idField)) {
            std::uint64_t n = 0;
            const auto [ptr, ec] = std::from_chars(line.data() + idField.size(), line.data() + line.size(), n);
            return ec == std::errc() && ptr == line.data() + line.size() ? std::optional(n) : std::nullopt;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace

void TokenRelay::beginAttempt()
{
    m_partial.clear();
    m_state = RelayState::Open;
}

std::string TokenRelay::feed(std::string_view bytes)
{
    std::string out;
    if (!m_partial.empty()) {
        m_partial.append(bytes);
        bytes = m_partial;
    }
    std::size_t begin = 0;
    while (m_state == RelayState::Open) {
        const auto end = bytes.find(eventEnd, begin);
        if (end == std::string_view::npos) {
            break;
        }
        processEvent(bytes.substr(begin, end - begin), out);
        begin = end + eventEnd.size();
    }
    std::string rest(bytes.substr(begin));
    m_partial = std::move(rest);
    if (m_partial.size() > maxEventBytes) {
        m_state = RelayState::TooLong;
    }
    return out;
}

void TokenRelay::processEvent(std::string_view event, std::string &out)
{
    if (event == finalEvent) {
        // The entry sends the final event itself, once the agent has confirmed the verdict.
        m_state = RelayState::Finished;
        return;
    }
    if (const auto offset = parseOffset(event)) {
        if (*offset < m_nextOffset) {
            return;
        }
        if (*offset > m_nextOffset) {
            m_state = RelayState::Gap;
            return;
        }
        ++m_nextOffset;
    }
    out.append(event).append(eventEnd);
}

} // namespace turmericline
