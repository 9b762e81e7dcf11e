#include "head_syntax.h"

#include <algorithm>

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
    : m_state(kind == Kind::Response ? State::Start : State::Ended)
{
}

bool HeadSyntax::check(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [this](char c) {
        return checkByte(c);
    });
}

bool HeadSyntax::checkByte(char c)
{
    switch (m_state) {
    case State::Start:
        if (c == '\r' || c == '\n') {
            return true;
        }
        m_state = State::StatusLine;
        [[fallthrough]];
    case State::StatusLine:
        return checkStatusByte(c);
    case State::Ended:
        break;
    }
    return true;
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
        m_state = State::Ended;
        return true;
    }
    if (c == '\r') {
        return true;
    }
    return at == statusLineForm.size() ? c == ' ' : !isControl(c);
}

} // namespace turmericline
