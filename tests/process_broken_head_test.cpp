#include "broken_answer_fixture.h"
#include "env_number.h"

#include <random>
#include <vector>

/**
 * Guards against heads whose fields are outside the protocol, and which pass for those of an answer. HEAD_SEED is the
 * seed, HEAD_CASES the number of random cases of each kind.
 */
class BrokenHeadTest : public BrokenAnswerFixture
{
    CPPUNIT_TEST_SUITE(BrokenHeadTest);
    CPPUNIT_TEST(byteOutsideNamesIsNoAnswer);
    CPPUNIT_TEST(lengthWithBlankDoesNotCutBody);
    CPPUNIT_TEST(unknownCodingIsNoAnswer);
    CPPUNIT_TEST(soundOddAnswersArePassedOn);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::string_view tokenBytes
        = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

    std::mt19937_64 m_random{envNumber("HEAD_SEED", 20261207)};
    std::size_t m_cases = envNumber("HEAD_CASES", 100);

    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(m_random() % n);
    }

    static bool isToken(char c)
    {
        return tokenBytes.find(c) != std::string_view::npos;
    }

    std::string randomName()
    {
        std::string name;
        for (auto n = 1 + below(12); n > 0; --n) {
            name += tokenBytes[below(tokenBytes.size())];
        }
        return name;
    }

public:
    void byteOutsideNamesIsNoAnswer()
    {
        for (int byte = 0; byte < 256; ++byte) {
            const auto c = static_cast<char>(byte);
            if (isToken(c) || c == ':' || c == '\n') {
                continue;
            }
            for (const auto &name :
                 {c + std::string("Field"), std::string("Fi") + c + "eld", std::string("Field") + c}) {
                const auto line = name + ": v\r\n";
                // First in the head, and between other fields; a line that begins with a blank there continues a value.
                expectBroken("HTTP/1.1 200 OK\r\n" + line + "Replica-Signature: s\r\nContent-Length: 2\r\n\r\nab");
                if (name.front() != ' ' && name.front() != '\t') {
                    expectBroken(head(line + "Content-Length: 2\r\n") + "ab");
                }
            }
        }
        for (std::size_t n = 0; n < m_cases; ++n) {
            auto name = randomName();
            char c = 0;
            do {
                c = static_cast<char>(below(256));
            } while (isToken(c) || c == ':' || c == '\n');
            name.insert(1 + below(name.size()), 1, c);
            expectBroken(head(randomName() + ": v\r\n" + name + ": v\r\n" + randomName() + ":v\r\n") + "ab");
        }
        for (const std::string line : {": v\r\n", "Field\r\n", "Fi\neld: v\r\n", "\r: v\r\n"}) {
            expectBroken(head(line + "Content-Length: 2\r\n") + "ab");
        }
    }

    /** A length that is read from such a field cuts the body, or hides that its end is missing. */
    void lengthWithBlankDoesNotCutBody()
    {
        for (const std::string line : {"Content-Length : 500\r\n",
                                       "Content-Length\t: 500\r\n",
                                       "Transfer-Encoding : chunked\r\n",
                                       "Content-Length : 500\r\nContent-Length: 3000\r\n"}) {
            expectBroken(head(line) + "5\r\nabcde\r\n0\r\n\r\n" + std::string(3'000, 'x'));
        }
    }

    /** The gateway cannot decode it, and would pass the coded bytes on as the server's body. */
    void unknownCodingIsNoAnswer()
    {
        for (const std::string coding :
             {"gzip", "xchunked", "gzip, chunked", "chunked, gzip", "chunked\r\nTransfer-Encoding: chunked"}) {
            expectBroken(head("Transfer-Encoding: " + coding + "\r\n") + "5\r\nabcde\r\n0\r\n\r\n");
        }
    }

    void soundOddAnswersArePassedOn()
    {
        const std::string signature = "Replica-Signature: s\r\n";
        const std::vector<std::pair<std::string, std::string>> answers{
            {"HTTP/1.1 200\r\n" + signature + "Content-Length: 2\r\n\r\nab", "ab"},
            {"HTTP/1.1 200 \r\n" + signature + "Content-Length: 2\r\n\r\nab", "ab"},
            {"HTTP/1.1 200 \xc3\xa9t\xc3\xa9\t\r\n" + signature + "\r\nab", "ab"},
            {"HTTP/1.0 200 OK\r\n" + signature + "\r\nwithout a length", "without a length"},
            {"HTTP/1.0 200 OK\r\n" + signature + "\r\n", ""},
            {"HTTP/1.1 200 OK\nReplica-Signature: s\nContent-Length: 2\n\nab", "ab"},
            {head("content-length:2\r\n") + "ab", "ab"},
            {head("Content-Length: 2 \r\nX:\r\nX: \t\r\nY: \xff\xfe\r\n") + "ab", "ab"},
            {head("X: a\r\n folded\r\nContent-Length: 2\r\n") + "ab", "ab"},
            {head("Transfer-Encoding: Chunked\r\n") + "2;x=y\r\nab\r\n0\r\nT: v\r\n\r\n", "ab"},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head("Content-Length: 2\r\n")
                 + "ab",
             "ab"},
            {head("") + std::string(2'000'000, 'x'), std::string(2'000'000, 'x')},
        };
        for (const auto &[bytes, body] : answers) {
            m_script = {bytes, ServerEnd::Close};
            m_script.readsBody = true;
            expectWhole(bytes.substr(0, 200), call(unsafePath), body);
        }
        for (std::size_t n = 0; n < m_cases; ++n) {
            const auto name = "X" + randomName();
            m_script = {withLength("ab", name + ": v\r\n"), ServerEnd::Close};
            m_script.readsBody = true;
            const auto got = call(unsafePath);
            expectWhole(name, got, "ab");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string("v"), got.answer.header(name));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenHeadTest);
