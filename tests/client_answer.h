#pragma once

#include "raw_caller.h"

/** What a client got on a connection up to its end, read by the framing that RFC 9112 gives it. */
struct ClientAnswer
{
    RawAnswer answer; ///< The status is 0 if there is no whole head.
    bool isWhole = false; ///< The answer is complete, and nothing follows it.
};

/** Decodes @p text as a chunked body; returns whether it is complete. Without trailers and extensions. */
inline bool decodeChunks(std::string_view text, std::string &body)
{
    for (;;) {
        const auto line = text.find("\r\n");
        if (line == std::string_view::npos || line == 0) {
            return false;
        }
        const auto size = std::stoul(std::string(text.substr(0, line)), nullptr, 16);
        text.remove_prefix(line + 2);
        if (text.size() < size + 2) {
            body.append(text.substr(0, size));
            return false;
        }
        body.append(text.substr(0, size));
        if (text.substr(size, 2) != "\r\n") {
            return false;
        }
        text.remove_prefix(size + 2);
        if (size == 0) {
            return text.empty();
        }
    }
}

inline ClientAnswer readClientAnswer(const std::string &text)
{
    ClientAnswer got;
    const auto end = text.find("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ") || end == std::string::npos) {
        return got;
    }
    got.answer.head = text.substr(0, end);
    got.answer.status = std::stoi(text.substr(text.find(' ')));
    const auto rest = text.substr(end + 4);
    const auto length = got.answer.header("Content-Length");
    if (!got.answer.header("Transfer-Encoding").empty()) {
        got.isWhole = decodeChunks(rest, got.answer.body);
    } else {
        got.answer.body = rest;
        const bool hasBody = got.answer.status != 204 && got.answer.status != 304;
        got.isWhole = rest.size() == (!hasBody ? 0 : length.empty() ? rest.size() : std::stoul(length));
    }
    return got;
}
