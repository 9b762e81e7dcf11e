#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** State of the event stream of the current attempt. */
enum class RelayState {
    Open, ///< More events may follow.
    Finished, ///< The engine's final event was received.
    Gap, ///< A token offset was skipped; the attempt cannot be used any further.
    TooLong, ///< An event exceeds the size limit of the relay.
};

/**
 * Forwards the server-sent events of the current attempt to one caller. Each token event has its offset as SSE id. An
 * event whose offset the caller already has is dropped, and a skipped offset ends the attempt. So the caller gets each
 * token once and in order, whatever the number of attempts.
 */
class TokenRelay
{
public:
    /** Starts a new attempt, whose first token must be at or before nextOffset(). */
    void beginAttempt();

    /** Parses bytes of the current attempt and returns the bytes to send to the caller. */
    std::string feed(std::string_view bytes);

    RelayState state() const
    {
        return m_state;
    }
    /** Offset of the next token to send to the caller. */
    std::uint64_t nextOffset() const
    {
        return m_nextOffset;
    }

private:
    void processEvent(std::string_view event, std::string &out);

    std::string m_partial; ///< Start of an event whose end has not been received yet.
    std::uint64_t m_nextOffset = 0;
    RelayState m_state = RelayState::Open;
};

} // namespace turmericline
