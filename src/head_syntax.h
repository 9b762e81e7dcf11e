#pragma once

#include <cstddef>
#include <string_view>

namespace turmericline {

/**
 * Checks what http_parser and libcurl let pass in the head of an HTTP/1 message. A status line has a version 1.x and a
 * status of three digits from 100 to 599 (RFC 9112 section 4, RFC 9110 section 15), but not 101, which is never asked for.
 * The name of a field is a token, directly before the colon (RFC 9112 section 5). A line ends with LF or CR LF, and CR
 * stands nowhere else.
 */
class HeadSyntax
{
public:
    enum class Kind {
        Request,
        Response,
    };

    explicit HeadSyntax(Kind kind);

    /** Checks the next bytes of the message, which may go beyond its head; returns false if one is not allowed. */
    bool check(std::string_view bytes);

private:
    enum class State {
        Start, ///< Empty lines before the message are skipped.
        RequestLine, ///< Its syntax is left to the parser.
        StatusLine,
        LineStart,
        Name,
        Value,
        Ended,
    };

    bool checkByte(char c);
    bool isStatusCut() const;
    bool checkStatusByte(char c);
    bool checkLineStart(char c);
    bool checkName(char c);

    Kind m_kind;
    State m_state = State::Start;
    std::size_t m_position = 0; ///< In the status line.
    int m_status = 0;
    bool m_hasField = false;
    bool m_isAfterCr = false;
};

} // namespace turmericline
