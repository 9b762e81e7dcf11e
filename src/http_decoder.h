#pragma once

#include "head_syntax.h"
#include "http_server.h"

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericline {

/** Returns the value of the first header field with this name, ignoring case; nothing if there is none. */
std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name);

/** Complete response to a call. */
struct HttpReply
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/** Start line and header fields of an HTTP message. */
struct HttpHead
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only: path and query as received.
    int status = 0; ///< Responses only.
    HttpHeaders headers;
    bool isKeptAlive = false; ///< The connection stays open after this message.
    std::optional<std::uint64_t> contentLength;

    std::optional<std::string_view> header(std::string_view name) const
    {
        return findHeader(headers, name);
    }
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

/**
 * Incremental decoder of HTTP/1.1 requests or responses. Wraps http_parser in an interface without callbacks, and rejects
 * heads that http_parser lets pass although they are outside the protocol.
 */
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

    /** Decodes bytes up to the end of the message and returns their number; consumes nothing after a fault. */
    std::size_t feed(std::string_view bytes);
    /** Call when the peer has closed the connection in order, which ends a response without a length. */
    void endOfInput();
    /** Discards the current message and prepares for the next one. */
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

    /** Whether the message had no length, so that it ended with the connection. */
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

    /** Returns the body bytes received since the last call. */
    std::string takeBody();
    /** Memory that the current message takes; a header field takes more than its bytes. */
    std::size_t heldBytes() const;

private:
    struct Callbacks;

    Kind m_kind;
    HttpDecoderLimits m_limits;
    http_parser m_parser{};
    HeadSyntax m_syntax;
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
