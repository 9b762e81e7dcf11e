#include "head_syntax.h"

#include <algorithm>
#include <utility>

namespace turmericline {

namespace {

/** Begin of a status line; "#" stands for a digit, "*" for the first one of a status. */
constexpr std::string_view statusLineForm = "HTTP/1.# *##";
constexpr int statusSwitchingProtocols = 101;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isControl(char c)
{
    constexpr char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || c == del;
}

bool isTokenByte(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || symbols.find(c) != std::string_view::npos;
}

bool matches(char form, char c)
{
    switch (form) {
    case '#':
        return isDigit(c);
    case '*':
        return c >= '1' && c <= '5';
    default:
        return c == form;
    }
}

} // namespace

HeadSyntax::HeadSyntax(Kind kind)
    : m_kind(kind)
{
}

bool HeadSyntax::check(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [this](char c) {
        return m_state == State::Ended || checkByte(c);
    });
}

bool HeadSyntax::checkByte(char c)
{
    if (m_state == State::Start) {
        if (c == '\r' || c == '\n') {
            return true;
        }
        m_state = m_kind == Kind::Response ? State::StatusLine : State::RequestLine;
    }
    if (std::exchange(m_isAfterCr, c == '\r') && c != '\n') {
        return false;
    }
    if (c == '\r') {
        return m_state != State::Name && !isStatusCut();
    }
    switch (m_state) {
    case State::StatusLine:
        return checkStatusByte(c);
    case State::LineStart:
        return checkLineStart(c);
    case State::Name:
        return checkName(c);
    case State::Start:
    case State::RequestLine:
    case State::Value:
    case State::Ended:
        break;
    }
    if (c == '\n') {
        m_state = State::LineStart;
    }
    return true;
}

bool HeadSyntax::isStatusCut() const
{
    return m_state == State::StatusLine && m_position < statusLineForm.size();
}

bool HeadSyntax::checkStatusByte(char c)
{
    const auto at = m_position++;
    if (at < statusLineForm.size()) {
        constexpr std::size_t statusAt = statusLineForm.find('*');
        constexpr int base = 10;
        m_status = at < statusAt ? 0 : m_status * base + (c - '0');
        return matches(statusLineForm[at], c) && m_status != statusSwitchingProtocols;
    }
    if (c == '\n') {
        m_state = State::LineStart;
        return true;
    }
    return at == statusLineForm.size() ? c == ' ' : !isControl(c);
}

bool HeadSyntax::checkLineStart(char c)
{
    if (c == '\n') {
        m_state = State::Ended;
        return true;
    }
    if (c == ' ' || c == '\t') {
        m_state = State::Value; // The line continues the value before it.
        return m_hasField;
    }
    m_state = State::Name;
    m_hasField = true;
    return isTokenByte(c);
}

bool HeadSyntax::checkName(char c)
{
    if (c == ':') {
        m_state = State::Value;
        return true;
    }
    return isTokenByte(c);
}

} // namespace turmericline
