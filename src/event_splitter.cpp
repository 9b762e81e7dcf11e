#include "event_splitter.h"

#include <algorithm>
#include <charconv>

namespace turmericline {

namespace {

/** Returns the numeric value of the id field of an event, if it has one. */
std::optional<std::uint64_t> eventId(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

/** Returns the length of the first event including its blank line; 0 if it is incomplete. */
std::size_t eventLength(std::string_view text)
{
    const auto lfBreak = text.find("\n\n");
    const auto crlfBreak = text.find("\r\n\r\n");
    const auto lfEnd = lfBreak == std::string_view::npos ? lfBreak : lfBreak + 2;
    const auto crlfEnd = crlfBreak == std::string_view::npos ? crlfBreak : crlfBreak + 4;
    const auto end = std::min(lfEnd, crlfEnd);
    return end == std::string_view::npos ? 0 : end;
}

} // namespace

std::string EventSplitter::push(std::string_view bytes)
{
    m_partial.append(bytes);
    std::string whole;
    std::string_view rest(m_partial);
    for (auto n = eventLength(rest); n > 0; n = eventLength(rest)) {
        const auto event = rest.substr(0, n);
        if (isNew(event)) {
            whole.append(event);
        }
        rest.remove_prefix(n);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return whole;
}

void EventSplitter::dropPartial()
{
    m_partial.clear();
}

bool EventSplitter::isNew(std::string_view event)
{
    const auto id = eventId(event);
    if (!id) {
        return true;
    }
    if (m_lastId && *id <= *m_lastId) {
        return false;
    }
    m_lastId = id;
    return true;
}

} // namespace turmericline
