#pragma once

#include "http_server.h"

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Start line and header fields of a message. */
struct HttpHead
{
    std::string method; ///< Of a request.
    std::string target; ///< Of a request: path and query as received.
    int status = 0; ///< Of a response.
    HttpHeaders headers;
    bool isKeptAlive = false; ///< The connection can carry another message after this one.
    std::optional<std::uint64_t> contentLength;

    /** Value of the first header called @p name in any case; nothing if there is none. */
    std::optional<std::string_view> header(std::string_view name) const;
};

enum class HttpFault {
    None,
    Syntax,
    HeadTooLarge,
    BodyTooLarge,
};

struct HttpDecoderLimits
{
    std::size_t maxHeadBytes = 64U << 10U;
    std::size_t maxBodyBytes = 64U << 20U;
};

/** Incremental decoder of HTTP/1.1 messages of one direction: http_parser behind an interface that is asked, not called. */
class HttpDecoder
{
public:
    enum class Kind {
        Request,
        Response,
    };

    explicit HttpDecoder(Kind kind, const HttpDecoderLimits &limits = {});
    HttpDecoder(const HttpDecoder &) = delete;
    HttpDecoder &operator=(const HttpDecoder &) = delete;

    /** Takes bytes up to the end of the message and returns how many; none after a fault. */
    std::size_t feed(std::string_view bytes);
    /** The peer closed its side in good order, which ends a response without length. */
    void endOfInput();
    /** Prepares for the next message. */
    void reset();
    void setLimits(const HttpDecoderLimits &limits);

    bool hasStarted() const
    {
        return m_headBytes > 0;
    }

    bool hasHead() const
    {
        return m_hasHead;
    }

    bool isComplete() const
    {
        return m_isComplete;
    }

    /** The message had no length, so its end is that of the connection. */
    bool isEndedByClose() const
    {
        return m_isEndedByClose;
    }

    HttpFault fault() const
    {
        return m_fault;
    }

    HttpHead &head()
    {
        return m_head;
    }

    /** Body bytes that came since the last call. */
    std::string takeBody();

private:
    struct Callbacks;

    Kind m_kind;
    HttpDecoderLimits m_limits;
    http_parser m_parser{};
    HttpHead m_head;
    std::string m_body;
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    bool m_isInValue = false;
    bool m_hasHead = false;
    bool m_isComplete = false;
    bool m_isEndedByClose = false;
    HttpFault m_fault = HttpFault::None;
};

} // namespace turmericline
