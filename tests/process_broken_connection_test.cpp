#include "broken_answer_fixture.h"
#include "env_number.h"

#include <random>

/**
 * Guards against the part of an answer that passes for the whole one, because the connection to the server was reset or
 * closed while the gateway wrote the request or read the answer. BREAK_SEED is the seed, BREAK_CASES their number.
 */
class BrokenConnectionTest : public BrokenAnswerFixture
{
    CPPUNIT_TEST_SUITE(BrokenConnectionTest);
    CPPUNIT_TEST(resetDuringUploadIsNoEnd);
    CPPUNIT_TEST(earlyAnswerIsPassedOn);
    CPPUNIT_TEST(anyBreakIsSeen);
    CPPUNIT_TEST(headCutAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(bodyCutAtAnyByteIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

    /** More than the kernel takes from the gateway while the server does not read. */
    static constexpr std::size_t longUpload = 12'000'000;

    enum class Framing {
        None,
        Length,
        Chunks,
    };

    static std::string framed(Framing framing, const std::string &body)
    {
        switch (framing) {
        case Framing::Length:
            return withLength(body);
        case Framing::Chunks:
            return head("Transfer-Encoding: chunked\r\n")
                   + (body.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", body.size(), body)) + "0\r\n\r\n";
        case Framing::None:
            break;
        }
        return head({}) + body;
    }

    /** Events of a stream; for other routes they are only text. */
    static std::string eventsOf(std::size_t count)
    {
        std::string text;
        for (std::size_t n = 0; n < count; ++n) {
            text += fmt::format("id: {}\ndata: {}\n\n", n + 1, std::string(20, 'x'));
        }
        return text;
    }

public:
    void resetDuringUploadIsNoEnd()
    {
        for (const auto *path : {unsafePath, safePath, streamPath}) {
            // After a delay the gateway waits for the socket, and finds it readable and writable at the same time.
            for (const auto delay : {0, 5, 20}) {
                m_script = {head({}) + eventsOf(100), ServerEnd::Reset};
                m_script.delay = std::chrono::milliseconds(delay);
                for (int n = 0; n < 20; ++n) {
                    expectNotWhole(fmt::format("{}, {} ms", path, delay), call(path, longUpload));
                }
            }
        }
    }

    /** A sound server may answer before it has read the request, with any framing, and end the connection in order. */
    void earlyAnswerIsPassedOn()
    {
        const auto body = eventsOf(100);
        for (const auto *path : {unsafePath, safePath, streamPath}) {
            for (const auto framing : {Framing::None, Framing::Length, Framing::Chunks}) {
                for (const auto pause : {0, 30}) {
                    m_script = {framed(framing, body), ServerEnd::HalfClose};
                    m_script.pause = std::chrono::milliseconds(pause);
                    expectWhole(path, call(path, longUpload), body);
                }
            }
        }
    }

    void anyBreakIsSeen()
    {
        const auto seed = envNumber("BREAK_SEED", 20261207);
        const auto cases = envNumber("BREAK_CASES", 150);
        std::mt19937_64 random(seed);
        const auto below = [&random](std::size_t n) {
            return static_cast<std::size_t>(random() % n);
        };
        constexpr std::array uploads{std::size_t{0}, std::size_t{4}, std::size_t{300'000}, longUpload, longUpload};
        constexpr std::array paths{unsafePath, safePath, streamPath};
        constexpr std::array ends{ServerEnd::Close, ServerEnd::Reset, ServerEnd::HalfClose};
        for (std::size_t n = 0; n < cases; ++n) {
            const auto body = eventsOf(below(300));
            const auto framing = static_cast<Framing>(below(3));
            const auto whole = framed(framing, body);
            m_script = {whole, ends.at(below(ends.size()))};
            m_script.readsBody = below(4) == 0;
            m_script.delay = std::chrono::milliseconds(below(2) == 0 ? below(10) : 0);
            m_script.pause = std::chrono::milliseconds(below(3) == 0 ? below(20) : 0);
            const auto upload = uploads.at(below(uploads.size()));
            const bool isCut = framing != Framing::None && below(2) == 0;
            if (isCut) {
                m_script.bytes.resize(below(whole.size()));
            }
            const auto *const path = paths.at(below(paths.size()));
            const auto got = call(path, upload);
            const auto name = fmt::format("BREAK_SEED={} case {}: {} framing {} end {} upload {} sent {} of {}",
                                          seed,
                                          n,
                                          path,
                                          static_cast<int>(framing),
                                          static_cast<int>(m_script.end),
                                          upload,
                                          m_script.bytes.size(),
                                          whole.size());
            // If the server closes, the kernel may reset the connection after the last byte.
            const bool mayBeWhole = !isCut && (framing != Framing::None || m_script.end != ServerEnd::Reset);
            const bool mustBeWhole = !isCut && m_script.end == ServerEnd::HalfClose;
            if (mustBeWhole || (mayBeWhole && got.isWhole && got.answer.status == 200)) {
                expectWhole(name, got, body);
            } else {
                expectNotWhole(name, got);
            }
        }
    }

    void headCutAtAnyByteIsNoAnswer()
    {
        const auto text = head("Content-Type: text/plain\r\nContent-Length: 0\r\n");
        for (const auto end : {ServerEnd::Close, ServerEnd::Reset}) {
            for (std::size_t n = 0; n < text.size(); ++n) {
                m_script = {text.substr(0, n), end};
                m_script.readsBody = true;
                expectFailure(text.substr(0, n), call(unsafePath));
            }
        }
    }

    void bodyCutAtAnyByteIsNoAnswer()
    {
        for (const auto framing : {Framing::Length, Framing::Chunks}) {
            const auto text = framed(framing, eventsOf(2));
            for (const auto *path : {unsafePath, streamPath}) {
                for (std::size_t n = framed(framing, {}).find("\r\n\r\n"); n < text.size(); ++n) {
                    m_script = {text.substr(0, n), ServerEnd::Close};
                    m_script.readsBody = true;
                    expectNotWhole(text.substr(0, n), call(path));
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenConnectionTest);
