#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/**
 * Splits a stream of server-sent events into complete events, so that the caller never receives part of an event if the
 * server fails in the middle of it. Events with an id up to the last one forwarded are dropped, since a server that
 * resumes the stream may send them again.
 */
class EventSplitter
{
public:
    /** Appends @p bytes and returns all events that are complete. */
    std::string push(std::string_view bytes);
    /** Discards an incomplete event after a server failed. */
    void dropPartial();

    bool hasPartial() const
    {
        return !m_partial.empty();
    }

    /** Number of bytes of the incomplete event. */
    std::size_t partialBytes() const
    {
        return m_partial.size();
    }

    /** Id of the last event returned by push(). */
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }

    void setLastId(std::uint64_t id)
    {
        m_lastId = id;
    }

private:
    bool isNew(std::string_view event);

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace turmericline
