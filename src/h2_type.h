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
    HttpHeaders headers; ///< Names in lower case.
    std::string body;
};

/** How a client stream ended. */
struct H2Result
{
    bool complete = false; ///< The peer ended the stream regularly.
    bool sent = false; ///< False if the peer certainly did not process the request.
    HttpHeaders trailers;
    std::string error;
};

/** Called as the answer arrives. Handlers that are not set are skipped. */
struct H2Handlers
{
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view chunk)> onBody; ///< The bytes have to be released with H2Client::consume().
    std::function<void(const H2Result &result)> onDone; ///< Called exactly once unless cancelled.
};

/** Value of the first header called @p name (exact case); empty if there is none. */
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
