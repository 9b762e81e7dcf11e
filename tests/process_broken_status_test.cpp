#include "broken_answer_fixture.h"
#include "env_number.h"

#include <random>
#include <vector>

/**
 * Guards against a status line outside the protocol that passes for the begin of an answer. HEAD_SEED is the seed,
 * HEAD_CASES the number of random statuses.
 */
class BrokenStatusTest : public BrokenAnswerFixture
{
    CPPUNIT_TEST_SUITE(BrokenStatusTest);
    CPPUNIT_TEST(statusOutsideProtocolIsNoAnswer);
    CPPUNIT_TEST(anyStatusInsideProtocolIsPassedOn);
    CPPUNIT_TEST(answerWithoutBodyEndsWithItsHead);
    CPPUNIT_TEST_SUITE_END();

    std::mt19937_64 m_random{envNumber("HEAD_SEED", 20261207)};
    std::size_t m_cases = envNumber("HEAD_CASES", 100);

    std::size_t below(std::size_t n)
    {
        return static_cast<std::size_t>(m_random() % n);
    }

    static std::string answerWith(const std::string &statusLine)
    {
        return head("Content-Length: 2\r\n", statusLine) + "ab";
    }

public:
    void statusOutsideProtocolIsNoAnswer()
    {
        std::vector<std::string> codes{"",     "0",    "2",     "20",    "000",   "001",   "020",  "099",  "101",
                                       "600",  "999",  "0200",  "00200", "2000",  "200x",  "2x0",  "x200", "-20",
                                       "+200", "2 00", "20\t0", " 200",  "\t200", "0x200", "200,", "200.", "2e2"};
        for (std::size_t n = 0; n < m_cases; ++n) {
            std::string code;
            for (auto size = below(7); size > 0; --size) {
                code += static_cast<char>('0' + below(10));
            }
            if (code.size() == 3 && code >= "100" && code <= "599") {
                code[0] = static_cast<char>('6' + below(4));
            }
            codes.push_back(code);
        }
        for (const auto &code : codes) {
            expectBroken(answerWith("HTTP/1.1 " + code + " OK"));
        }
        for (const std::string version :
             {"HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTP/1", "HTTP/1.10", "HTTP/11", "ICY"}) {
            expectBroken(answerWith(version + " 200 OK"));
        }
        for (const std::string line : {"HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1\t200 OK", "HTTP/1.1"}) {
            expectBroken(answerWith(line));
        }
    }

    /** 421 states that the request has not run, so it is no answer to the client. */
    void anyStatusInsideProtocolIsPassedOn()
    {
        for (int status = 200; status < 600; ++status) {
            if (status == 421) {
                continue;
            }
            m_script = {answerWith(fmt::format("HTTP/1.1 {} Text", status)), ServerEnd::Close};
            const bool hasBody = status != 204 && status != 304;
            if (!hasBody) {
                m_script.bytes = head({}, fmt::format("HTTP/1.1 {} Text", status));
            }
            m_script.readsBody = true;
            expectWhole(std::to_string(status), call(unsafePath), hasBody ? "ab" : "", status);
        }
    }

    /** RFC 9112 section 6.3: such an answer has no body, whatever its fields say; a 304 may state the length of another. */
    void answerWithoutBodyEndsWithItsHead()
    {
        for (const auto status : {204, 304}) {
            for (const std::string fields : {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
                for (const std::string more : {"", "ab", "2\r\nab\r\n0\r\n\r\n"}) {
                    m_script = {head(fields, fmt::format("HTTP/1.1 {} Text", status)) + more, ServerEnd::Keep};
                    m_script.readsBody = true;
                    expectWhole(fmt::format("{} {} {}", status, fields, more), call(unsafePath), "", status);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStatusTest);
