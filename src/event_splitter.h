#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/**
 * Cuts the body of a stream of server-sent events into whole events, so that a server that breaks off in the middle of
 * an event leaves nothing of it with the caller. Events up to the last id passed on are dropped: a server that resumes
 * the stream may repeat them.
 */
class EventSplitter
{
public:
    /** Returns the whole events that @p bytes complete. */
    std::string push(std::string_view bytes);
    /** Drops the unfinished event of a server that broke off. */
    void dropPartial();

    bool hasPartial() const
    {
        return !m_partial.empty();
    }

    /** Id of the last event passed on. */
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
