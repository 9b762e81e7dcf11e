#include "http_decoder.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace turmericline {

namespace {

HeadSyntax::Kind syntaxKind(HttpDecoder::Kind kind)
{
    return kind == HttpDecoder::Kind::Request ? HeadSyntax::Kind::Request : HeadSyntax::Kind::Response;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto begin = std::min(text.find_first_not_of(blanks), text.size());
    return text.substr(begin, text.find_last_not_of(blanks) + 1 - begin);
}

/** Whether the body can be decoded: the parser decodes chunks only, and leaves other transfer codings in the body. */
bool hasKnownCoding(const HttpHeaders &headers)
{
    const auto isCoding = [](const auto &it) {
        return equalsIgnoringCase(it.first, "Transfer-Encoding");
    };
    const auto isChunked = [](const auto &it) {
        return equalsIgnoringCase(trim(it.second), "chunked");
    };
    const auto first = std::find_if(headers.begin(), headers.end(), isCoding);
    return first == headers.end()
           || (isChunked(*first) && std::find_if(std::next(first), headers.end(), isCoding) == headers.end());
}

} // namespace

/** C callbacks of http_parser; a result other than 0 stops the parser. */
struct HttpDecoder::Callbacks
{
    static HttpDecoder &self(http_parser *parser)
    {
        return *static_cast<HttpDecoder *>(parser->data);
    }

    static int onTarget(http_parser *parser, const char *at, std::size_t n)
    {
        self(parser).m_head.target.append(at, n);
        return 0;
    }

    static int onField(http_parser *parser, const char *at, std::size_t n)
    {
        auto &it = self(parser);
        if (it.m_hasHead) {
            return 0; // Trailer fields of a chunked body are ignored.
        }
        if (it.m_isInValue || it.m_head.headers.empty()) {
            it.m_head.headers.emplace_back();
            it.m_isInValue = false;
        }
        it.m_head.headers.back().first.append(at, n);
        return 0;
    }

    static int onValue(http_parser *parser, const char *at, std::size_t n)
    {
        auto &it = self(parser);
        if (it.m_hasHead) {
            return 0;
        }
        it.m_isInValue = true;
        it.m_head.headers.back().second.append(at, n);
        return 0;
    }

    static int onHead(http_parser *parser)
    {
        constexpr int skipBody = 1; // Has the parser end the message here.
        auto &it = self(parser);
        it.m_hasHead = true;
        it.m_head.isKeptAlive = http_should_keep_alive(parser) != 0;
        if (it.m_kind == Kind::Request) {
            it.m_head.method = http_method_str(static_cast<http_method>(parser->method));
        } else {
            it.m_head.status = parser->status_code;
            if (!hasKnownCoding(it.m_head.headers)) {
                it.m_fault = HttpFault::Syntax;
                return -1;
            }
            if (it.m_head.status == HTTP_STATUS_NO_CONTENT || it.m_head.status == HTTP_STATUS_NOT_MODIFIED) {
                return skipBody;
            }
        }
        if (parser->content_length != std::numeric_limits<std::uint64_t>::max()) {
            it.m_head.contentLength = parser->content_length;
            if (parser->content_length > it.m_limits.maxBodyBytes) {
                it.m_fault = HttpFault::BodyTooLarge;
                return -1;
            }
        }
        return 0;
    }

    static int onBody(http_parser *parser, const char *at, std::size_t n)
    {
        auto &it = self(parser);
        it.m_bodyBytes += n;
        if (it.m_bodyBytes > it.m_limits.maxBodyBytes) {
            it.m_fault = HttpFault::BodyTooLarge;
            return -1;
        }
        it.m_body.append(at, n);
        return 0;
    }

    static int onComplete(http_parser *parser)
    {
        self(parser).m_isComplete = true;
        // Pause, so that bytes after this message, which may belong to the next one, are left to the caller of feed().
        http_parser_pause(parser, 1);
        return 0;
    }

    static http_parser_settings settings()
    {
        http_parser_settings table;
        http_parser_settings_init(&table);
        table.on_url = onTarget;
        table.on_header_field = onField;
        table.on_header_value = onValue;
        table.on_headers_complete = onHead;
        table.on_body = onBody;
        table.on_message_complete = onComplete;
        return table;
    }
};

std::optional<std::string_view> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &it : headers) {
        if (equalsIgnoringCase(it.first, name)) {
            return it.second;
        }
    }
    return std::nullopt;
}

HttpDecoder::HttpDecoder(Kind kind, const HttpDecoderLimits &limits)
    : m_kind(kind)
    , m_limits(limits)
    , m_syntax(syntaxKind(kind))
{
    reset();
}

void HttpDecoder::reset()
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_syntax = HeadSyntax(syntaxKind(m_kind));
    m_head = {};
    std::string().swap(m_body); // Assigning an empty string would keep the memory.
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_isInValue = false;
    m_hasHead = false;
    m_isComplete = false;
    m_isEndedByClose = false;
    m_fault = HttpFault::None;
}

void HttpDecoder::setLimits(const HttpDecoderLimits &limits)
{
    m_limits = limits;
}

std::size_t HttpDecoder::feed(std::string_view bytes)
{
    if (m_isComplete || m_fault != HttpFault::None || bytes.empty()) {
        return 0;
    }
    if (!m_hasHead && !m_syntax.check(bytes)) {
        m_fault = HttpFault::Syntax;
        return 0;
    }
    static const http_parser_settings settings = Callbacks::settings();
    const bool hadHead = m_hasHead;
    const auto n = http_parser_execute(&m_parser, &settings, bytes.data(), bytes.size());
    if (!hadHead) {
        m_headBytes += n - std::min(n, m_bodyBytes);
    }
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    if (error != HPE_OK && error != HPE_PAUSED && m_fault == HttpFault::None) {
        m_fault = error == HPE_HEADER_OVERFLOW ? HttpFault::HeadTooLarge : HttpFault::Syntax;
    }
    if (m_parser.upgrade != 0) {
        m_fault = HttpFault::Syntax;
    }
    if (m_headBytes > m_limits.maxHeadBytes && m_fault != HttpFault::Syntax) {
        m_fault = HttpFault::HeadTooLarge;
    }
    return n;
}

void HttpDecoder::endOfInput()
{
    if (!m_hasHead || m_isComplete || m_fault != HttpFault::None) {
        return;
    }
    static const http_parser_settings settings = Callbacks::settings();
    http_parser_execute(&m_parser, &settings, nullptr, 0);
    m_isEndedByClose = m_isComplete;
}

std::size_t HttpDecoder::heldBytes() const
{
    const auto fieldBytes = m_head.headers.capacity() * sizeof(HttpHeaders::value_type);
    return m_body.capacity() + m_head.target.capacity() + m_headBytes + fieldBytes;
}

std::string HttpDecoder::takeBody()
{
    return std::exchange(m_body, {});
}

} // namespace turmericline
