#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** What the relay found in the bytes of an attempt. */
enum class RelayState {
    Open,
    Finished, ///< The engine's final event was seen.
    Gap, ///< A token offset was skipped; the attempt cannot be used any further.
    TooLong, ///< An event is longer than the relay holds.
};

/**
 * Passes the server-sent events of the current attempt on to one caller. Each token event has its offset as SSE id; an
 * offset that the caller has already got is dropped, and a skipped one ends the attempt. So a caller gets each token
 * once and in order, from however many attempts.
 */
class TokenRelay
{
public:
    /** Starts a new attempt, which has to begin at or before nextOffset(). */
    void beginAttempt();

    /** Takes bytes of the current attempt and returns the bytes that go to the caller. */
    std::string feed(std::string_view bytes);

    RelayState state() const
    {
        return m_state;
    }
    /** Offset of the next token that the caller needs. */
    std::uint64_t nextOffset() const
    {
        return m_next;
    }

private:
    void takeEvent(std::string_view event, std::string &out);

    std::string m_partial; ///< An event whose end was not received yet.
    std::uint64_t m_next = 0;
    RelayState m_state = RelayState::Open;
};

} // namespace turmericline
