#include "caller_fixture.h"
#include "client_answer.h"
#include "env_number.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <random>

using Fixture = CallerFixture;

/**
 * Own fleet: guards against broken bytes of a backend server that pass for an answer at the entry, and against requests
 * that are cut at the end of a planned stop. HEAD_SEED is the seed, HEAD_CASES the number of random cases.
 */
class BrokenBackendTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenBackendTest);
    CPPUNIT_TEST(headCutAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(bodyCutAtAnyByteIsNoAnswer);
    CPPUNIT_TEST(statusOutsideProtocolIsNoAnswer);
    CPPUNIT_TEST(byteOutsideNamesIsNoAnswer);
    CPPUNIT_TEST(resetIsNoEnd);
    CPPUNIT_TEST(endlessBytesTakeBoundedMemory);
    CPPUNIT_TEST(soundOddAnswersArePassedOn);
    CPPUNIT_TEST(lateRequestsAreAnsweredOrRefused);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fixture> m_fleet;
    std::vector<ServerScript> m_broken;
    std::mt19937_64 m_random{envNumber("HEAD_SEED", 20261207)};

    /** Sends a call that must not run twice until it has reached the server, which the entry avoids after a failure. */
    ClientAnswer call(std::size_t bodyBytes = 2)
    {
        m_fleet->caseScripts = {m_fleet->script};
        return callAll(bodyBytes).front();
    }

    /** As call(), one for each of the case scripts, many at the same time. */
    std::vector<ClientAnswer> callAll(std::size_t bodyBytes = 2)
    {
        constexpr std::size_t atOnce = 128;
        for (auto &it : m_fleet->caseScripts) {
            it.delay = std::chrono::milliseconds(200); // Until the entry has passed all on, before the first one fails.
        }
        const auto count = m_fleet->caseScripts.size();
        std::vector<ClientAnswer> answers(count);
        m_fleet->reachedCases.clear();
        while (m_fleet->reachedCases.size() < count) {
            std::vector<std::pair<std::size_t, std::unique_ptr<RawCaller>>> callers;
            for (std::size_t n = 0; n < count && callers.size() < atOnce; ++n) {
                if (!m_fleet->reachedCases.contains(n)) {
                    callers.emplace_back(n, std::make_unique<RawCaller>(m_fleet->io, m_fleet->entry.port()));
                    callers.back().second->send(Fixture::request(fmt::format("POST /services/confirm/case/{}", n),
                                                                 "Connection: close\r\nX-Deadline-Ms: 10000\r\n",
                                                                 std::string(bodyBytes, 'u')));
                }
            }
            for (const auto &[n, caller] : callers) {
                answers[n] = readClientAnswer(caller->rest());
                if (!m_fleet->reachedCases.contains(n)) {
                    const auto &answer = answers[n].answer;
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.head, std::string("not-run"), answer.header("X-Verdict"));
                }
            }
        }
        return answers;
    }

    static std::string head(const std::string &fields, const std::string &status = "HTTP/1.1 200 OK")
    {
        return status + "\r\nContent-Type: text/x-own\r\n" + fields + "\r\n";
    }

    static void expectFailure(const std::string &name, const ClientAnswer &got)
    {
        const auto text = fmt::format("{}\n-> whole {}: {}\n{}", name, got.isWhole, got.answer.head, got.answer.body);
        CPPUNIT_ASSERT_MESSAGE(text, got.isWhole);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("may-have-run"), got.answer.header("X-Verdict"));
        CPPUNIT_ASSERT_MESSAGE(text, got.answer.status == 502 || got.answer.status == 504);
    }

    void addBroken(const std::string &bytes, ServerEnd end = ServerEnd::HalfClose)
    {
        m_broken.push_back({bytes, end, {}, true});
    }

    void expectAllBroken()
    {
        m_fleet->caseScripts = m_broken;
        const auto answers = callAll();
        for (std::size_t n = 0; n < answers.size(); ++n) {
            expectFailure(m_broken[n].bytes, answers[n]);
        }
    }

    void expectWhole(const std::string &bytes, const std::string &body)
    {
        m_fleet->script = {bytes, ServerEnd::Close, {}, true};
        const auto got = call();
        CPPUNIT_ASSERT_MESSAGE(bytes + got.answer.head, got.isWhole && got.answer.status == 200);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("run"), got.answer.header("X-Verdict"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, body, got.answer.body);
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<Fixture>(
            std::vector<std::string>{"--max-body-bytes", "4194304"}, false, Fixture::Backend::Scripted);
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    void headCutAtAnyByteIsNoAnswer()
    {
        const auto text = head("Content-Length: 0\r\n");
        for (const auto end : {ServerEnd::Close, ServerEnd::Reset}) {
            for (std::size_t n = 0; n < text.size(); ++n) {
                addBroken(text.substr(0, n), end);
            }
        }
        expectAllBroken();
    }

    void bodyCutAtAnyByteIsNoAnswer()
    {
        for (const auto &[fields, body] : {std::pair{"Content-Length: 20\r\n", "01234567890123456789"},
                                           std::pair{"Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"}}) {
            const std::string text(body);
            // libcurl takes the last CR for the end; the body is whole by then.
            const std::size_t end = text.size() - (text.ends_with('\n') ? 1 : 0);
            for (std::size_t n = 0; n < end; ++n) {
                addBroken(head(fields) + text.substr(0, n), ServerEnd::Close);
            }
        }
        expectAllBroken();
    }

    void statusOutsideProtocolIsNoAnswer()
    {
        std::vector<std::string> codes{
            "", "0", "20", "000", "020", "099", "101", "600", "999", "0200", "2000", "200x", " 200"};
        for (auto n = envNumber("HEAD_CASES", 20); n > 0; --n) {
            codes.push_back(fmt::format("{:03}", m_random() % 2 == 0 ? m_random() % 100 : 600 + m_random() % 400));
        }
        for (const auto &code : codes) {
            addBroken(head("Content-Length: 2\r\n", "HTTP/1.1 " + code + " OK") + "ab");
        }
        for (const std::string version : {"HTTP/2.0", "HTTP/2", "HTTP/0.9", "ICY"}) {
            addBroken(head("Content-Length: 2\r\n", version + " 200 OK") + "ab");
        }
        expectAllBroken();
    }

    void byteOutsideNamesIsNoAnswer()
    {
        const std::string_view other = "\"(),/;<=>?@[\\]{}\t\r \x01\x1f\x7f\x80\xff";
        for (const char c : std::string(1, '\0') + std::string(other)) {
            addBroken(head(std::string("Fi") + c + "eld: v\r\nContent-Length: 2\r\n") + "ab");
            addBroken(head(std::string("Field") + c + ": v\r\nContent-Length: 2\r\n") + "ab");
        }
        for (const std::string line : {": v\r\n", "Field\r\n", "Content-Length : 2\r\n"}) {
            addBroken(head(line) + "abcdef");
        }
        expectAllBroken();
    }

    void resetIsNoEnd()
    {
        for (const bool readsBody : {true, false}) {
            m_fleet->caseScripts.assign(10, {head({}) + std::string(3'000, 'x'), ServerEnd::Reset, {}, readsBody});
            for (const auto &it : callAll(readsBody ? 2 : 4'100'000)) {
                expectFailure("reset", it);
            }
        }
    }

    /** Bounds of the smallest instances that the users run for entries and agents. */
    void endlessBytesTakeBoundedMemory()
    {
        const std::vector<std::pair<std::string, std::string>> answers{
            {"", "x"},
            {"HTTP/1.1 200 OK\r\nX: ", "x"},
            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {head({}), "x"},
            {head("Transfer-Encoding: chunked\r\n"), "1\r\nx\r\n"},
            {head("Transfer-Encoding: chunked\r\n") + "1;", "x"},
            {head("Transfer-Encoding: chunked\r\n") + "0\r\n", "X: y\r\n"},
        };
        m_fleet->caseScripts.clear();
        for (const auto &[start, rest] : answers) {
            m_fleet->caseScripts.push_back({start, ServerEnd::Repeat, rest, true});
        }
        for (const auto &it : callAll()) {
            expectFailure("endless", it);
        }
        while (m_fleet->scripted.openCount() > 0) {
            m_fleet->io.run_one();
        }
        constexpr std::uint64_t agentLimit = 128U << 10U;
        constexpr std::uint64_t entryLimit = 256U << 10U;
        CPPUNIT_ASSERT(m_fleet->serviceAgent.memoryKiB("VmHWM") < agentLimit);
        CPPUNIT_ASSERT(m_fleet->entry.memoryKiB("VmHWM") < entryLimit);
        expectWhole(head("Content-Length: 2\r\n") + "ab", "ab");
    }

    void soundOddAnswersArePassedOn()
    {
        expectWhole("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nab", "ab");
        expectWhole("HTTP/1.0 200 OK\r\n\r\nwithout a length", "without a length");
        expectWhole("HTTP/1.0 200 OK\r\nContent-Type: text/x \t\r\n\r\nab", "ab");
        expectWhole(head("X: a\r\n folded\r\ncontent-length:2\r\n") + "ab", "ab");
        expectWhole(head("X:\r\nY: \xff\xfe\r\nContent-Length: 2 \r\n") + "ab", "ab");
        expectWhole(head("Transfer-Encoding: Chunked\r\n") + "2;x=y\r\nab\r\n0\r\nT: v\r\n\r\n", "ab");
        expectWhole("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head("Content-Length: 2\r\n")
                        + "ab",
                    "ab");
        // An early answer during an upload.
        m_fleet->script = {head({}) + std::string(3'000, 'x'), ServerEnd::HalfClose};
        CPPUNIT_ASSERT_EQUAL(std::string(3'000, 'x'), call(4'100'000).answer.body);
    }

    void lateRequestsAreAnsweredOrRefused()
    {
        m_fleet.reset();
        m_fleet = std::make_unique<Fixture>(
            std::vector<std::string>{
                "--drain-notice-ms", "500", "--drain-deadline-ms", "2500", "--default-deadline-ms", "1500"},
            false,
            Fixture::Backend::Scripted);
        m_fleet->script.delay = std::chrono::milliseconds(1'000);
        struct Late
        {
            std::unique_ptr<RawCaller> caller;
            std::size_t before = 0;
        };
        std::vector<Late> late(40);
        for (auto &it : late) {
            it.caller = std::make_unique<RawCaller>(m_fleet->io, m_fleet->entry.port());
            it.caller->send(Fixture::models());
            CPPUNIT_ASSERT_EQUAL(200, it.caller->answer().status);
        }
        m_fleet->entry.signal(SIGTERM);
        const auto before = m_fleet->scripted.requestCount();
        std::size_t served = 0;
        asio::steady_timer timer(m_fleet->io);
        for (auto &it : late) {
            timer.expires_after(std::chrono::milliseconds(60));
            bool isOver = false;
            timer.async_wait([&isOver](asio::error_code) {
                isOver = true;
            });
            while (!isOver) {
                m_fleet->io.run_one();
            }
            it.caller->send(Fixture::request("POST /services/confirm/x", "Connection: close\r\n", "{}"));
        }
        for (const auto &it : late) {
            const auto got = readClientAnswer(it.caller->rest());
            if (got.answer.status == 0) {
                continue; // It crossed the end of the process; counted below if it has reached the server.
            }
            CPPUNIT_ASSERT(got.isWhole);
            if (got.answer.status == 200) {
                ++served;
            } else {
                CPPUNIT_ASSERT_EQUAL(503, got.answer.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(got.answer.body, std::string("not-run"), got.answer.header("X-Verdict"));
            }
        }
        CPPUNIT_ASSERT_EQUAL(m_fleet->scripted.requestCount() - before, served);
        CPPUNIT_ASSERT(served > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenBackendTest);
