#pragma once

#include "http_server.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace turmericline {

struct H2Request
{
    std::string method = "POST";
    std::string path;
    HttpHeaders headers; ///< Names must be in lower case.
    std::string body;
};

/** Outcome of a client stream. */
struct H2Result
{
    bool complete = false; ///< The peer ended the response with END_STREAM, and no error followed.
    bool sent = false; ///< False only if the peer is known not to have processed the request.
    HttpHeaders trailers;
    std::string error;
};

/** Callbacks for the parts of a response as they arrive; each may be empty. */
struct H2Handlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view chunk)> onBody; ///< Must release the bytes with H2Client::consume().
    std::function<void(const H2Result &result)> onDone; ///< Called exactly once, unless the stream is cancelled.
};

/** Returns the value of the first header named @p name (case-sensitive); empty if there is none. */
inline std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace turmericline
