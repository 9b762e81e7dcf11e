#include "http_decoder.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

/** Guards against truncated responses being taken for complete ones, and bytes being assigned to the wrong message. */
class HttpDecoderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpDecoderTest);
    CPPUNIT_TEST(decodesAtAnySplit);
    CPPUNIT_TEST(leavesBytesOfNextMessage);
    CPPUNIT_TEST(responseWithoutLengthEndsWithConnection);
    CPPUNIT_TEST(truncatedResponseIsNotComplete);
    CPPUNIT_TEST(trailersDoNotChangeHead);
    CPPUNIT_TEST(rejectsConflictingLengths);
    CPPUNIT_TEST(limitsHeadAndBody);
    CPPUNIT_TEST(resetDiscardsPreviousMessage);
    CPPUNIT_TEST(rejectsOddStatusLineAtAnySplit);
    CPPUNIT_TEST(rejectsOddNameInRequest);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::string_view chunked
        = "POST /a?b HTTP/1.1\r\nHost: h\r\nX: \r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

public:
    void decodesAtAnySplit()
    {
        for (std::size_t at = 1; at < chunked.size(); ++at) {
            HttpDecoder decoder(HttpDecoder::Kind::Request);
            CPPUNIT_ASSERT_EQUAL(at, decoder.feed(chunked.substr(0, at)));
            CPPUNIT_ASSERT(!decoder.isComplete());
            decoder.feed(chunked.substr(at));
            CPPUNIT_ASSERT(decoder.isComplete());
            CPPUNIT_ASSERT_EQUAL(std::string("abcde"), decoder.takeBody());
            CPPUNIT_ASSERT_EQUAL(std::string("/a?b"), decoder.head().target);
            CPPUNIT_ASSERT(decoder.head().header("host") == "h");
            CPPUNIT_ASSERT(decoder.head().header("x") == "");
        }
    }

    void leavesBytesOfNextMessage()
    {
        HttpDecoder decoder(HttpDecoder::Kind::Response);
        const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
        CPPUNIT_ASSERT_EQUAL(first.size(), decoder.feed(first + "HTTP/1.1 500 X\r\n\r\n"));
        CPPUNIT_ASSERT(decoder.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), decoder.takeBody());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decoder.feed("more"));
    }

    void responseWithoutLengthEndsWithConnection()
    {
        HttpDecoder decoder(HttpDecoder::Kind::Response);
        decoder.feed("HTTP/1.1 200 OK\r\n\r\nabc");
        CPPUNIT_ASSERT(!decoder.isComplete());
        decoder.endOfInput();
        CPPUNIT_ASSERT(decoder.isComplete());
        CPPUNIT_ASSERT(decoder.isEndedByClose());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), decoder.takeBody());
    }

    void truncatedResponseIsNotComplete()
    {
        for (const std::string framing :
             {"Content-Length: 9\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
            HttpDecoder decoder(HttpDecoder::Kind::Response);
            decoder.feed("HTTP/1.1 200 OK\r\n" + framing);
            decoder.endOfInput();
            CPPUNIT_ASSERT(!decoder.isComplete());
        }
    }

    void trailersDoNotChangeHead()
    {
        HttpDecoder decoder(HttpDecoder::Kind::Response);
        decoder.feed("HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nB: 2\r\n\r\n");
        CPPUNIT_ASSERT(decoder.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decoder.head().headers.size());
    }

    /** Request smuggling: a request with two conflicting lengths could hide another request in its body. */
    void rejectsConflictingLengths()
    {
        HttpDecoder decoder(HttpDecoder::Kind::Request);
        decoder.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(decoder.fault() == HttpFault::Syntax);
    }

    void limitsHeadAndBody()
    {
        HttpDecoder head(HttpDecoder::Kind::Request, {100, 10});
        head.feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'a'));
        CPPUNIT_ASSERT(head.fault() == HttpFault::HeadTooLarge);
        HttpDecoder length(HttpDecoder::Kind::Request, {100, 10});
        length.feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
        CPPUNIT_ASSERT(length.fault() == HttpFault::BodyTooLarge);
        HttpDecoder chunks(HttpDecoder::Kind::Request, {100, 10});
        chunks.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n");
        CPPUNIT_ASSERT(chunks.fault() == HttpFault::BodyTooLarge);
    }

    void resetDiscardsPreviousMessage()
    {
        HttpDecoder decoder(HttpDecoder::Kind::Request);
        decoder.feed("GET /a HTTP/1.1\r\nA: 1\r\n\r\n");
        CPPUNIT_ASSERT(decoder.isComplete());
        decoder.reset();
        CPPUNIT_ASSERT(!decoder.hasStarted());
        decoder.feed("GET /b HTTP/1.1\r\nB: 2\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("/b"), decoder.head().target);
        CPPUNIT_ASSERT(!decoder.head().header("A"));
    }

    /** The status line comes in any pieces; http_parser takes each of the odd ones. */
    void rejectsOddStatusLineAtAnySplit()
    {
        const auto faultOf = [](const std::string &text) {
            HttpDecoder decoder(HttpDecoder::Kind::Response);
            for (const char c : text) {
                decoder.feed(std::string_view(&c, 1));
            }
            return decoder.fault();
        };
        for (const std::string line : {"HTTP/1.1 000 X", "HTTP/1.1 0200 OK", "HTTP/1.1 600 X", "HTTP/2.0 200 OK"}) {
            CPPUNIT_ASSERT_MESSAGE(line, faultOf(line + "\r\n\r\n") == HttpFault::Syntax);
        }
        for (const std::string line : {"HTTP/1.0 200", "HTTP/1.1 599 ", "\r\nHTTP/1.1 100 \xff\t"}) {
            CPPUNIT_ASSERT_MESSAGE(line, faultOf(line + "\r\n\r\n") == HttpFault::None);
        }
    }

    /** Request smuggling: a server may read such a field in another way than the gateway. */
    void rejectsOddNameInRequest()
    {
        for (const std::string line : {"Content-Length : 3", " A: b", "A B: c", "A\t: b", "\r: b", "\rA: b"}) {
            HttpDecoder decoder(HttpDecoder::Kind::Request);
            decoder.feed("POST / HTTP/1.1\r\n" + line + "\r\nHost: h\r\n\r\n");
            CPPUNIT_ASSERT_MESSAGE(line, decoder.fault() == HttpFault::Syntax);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpDecoderTest);
