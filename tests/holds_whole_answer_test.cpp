#include "fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <iostream>

using nlohmann::json;

namespace {

constexpr std::uint32_t answerTokens = 300;

std::string promptOf(std::size_t n)
{
    return fmt::format("Prompt {} of the answer test", n);
}

} // namespace

/** Guards I2: each caller gets the complete answer to its own request, also if any one server crashes or stalls. */
class WholeAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WholeAnswerTest);
    CPPUNIT_TEST(undisturbed);
    CPPUNIT_TEST(engineIsKilled);
    CPPUNIT_TEST(agentIsKilled);
    CPPUNIT_TEST(engineIsFrozen);
    CPPUNIT_TEST(agentIsFrozen);
    CPPUNIT_TEST(streamIsTruncated);
    CPPUNIT_TEST(noServerIsLeft);
    CPPUNIT_TEST(nextServerAnswersWithAnError);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;
    std::vector<Fleet::Answer> m_streams;

public:
    void setUp() override
    {
        FleetOptions options;
        // Time after which a silent engine is detected; it affects only the duration of the test.
        options.agentArguments = {"--backend-silence-ms", "2000"};
        m_fleet = std::make_unique<Fleet>(options);
        m_streams.clear();
    }

    void tearDown() override
    {
        if (m_fleet) {
            std::cout << fmt::format(
                "\nfigures: point=I2 operations={} faults={}\n", m_streams.size(), m_fleet->faultCount());
        }
        m_fleet.reset();
    }

    /** Starts @p count streams with different prompts and waits until each has delivered a token. */
    void startStreams(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_streams.push_back(
                m_fleet->stream(Fleet::entries()[i % 3], promptOf(i), answerTokens, fmt::format("stream-{}", i)));
        }
        m_fleet->waitUntil([this] {
            return std::all_of(m_streams.begin(), m_streams.end(), [](const Fleet::Answer &it) {
                return it->done || it->body.find("\n\n") != std::string::npos;
            });
        });
    }

    void expectAllComplete()
    {
        m_fleet->waitDone(m_streams);
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            expectCompleteStream(m_streams[i], promptOf(i), answerTokens);
        }
    }

    /** Number of streams that ran on more than one engine. */
    std::size_t countResumedStreams()
    {
        std::size_t moved = 0;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            std::size_t engines = 0;
            for (const auto *it : {"engine-1", "engine-2", "engine-3"}) {
                engines += m_fleet->getJson(it, "/counts").contains(fmt::format("stream-{}", i)) ? 1 : 0;
            }
            moved += engines > 1 ? 1 : 0;
        }
        return moved;
    }

    void undisturbed()
    {
        startStreams(60);
        expectAllComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countResumedStreams());
    }

    void engineIsKilled()
    {
        startStreams(24);
        CPPUNIT_ASSERT(m_fleet->status("agent-m1").at("running").get<int>() > 0);
        m_fleet->kill("engine-1");
        expectAllComplete();
    }

    void agentIsKilled()
    {
        startStreams(24);
        CPPUNIT_ASSERT(m_fleet->status("agent-m2").at("running").get<int>() > 0);
        m_fleet->kill("agent-m2");
        expectAllComplete();
        CPPUNIT_ASSERT(countResumedStreams() > 0);
    }

    void engineIsFrozen()
    {
        startStreams(24);
        CPPUNIT_ASSERT(m_fleet->status("agent-m3").at("running").get<int>() > 0);
        m_fleet->signal("engine-3", SIGSTOP);
        expectAllComplete();
        m_fleet->signal("engine-3", SIGCONT);
        CPPUNIT_ASSERT(countResumedStreams() > 0);
    }

    /** The agent resumes while its streams run on other servers; its late tokens must not reach any caller. */
    void agentIsFrozen()
    {
        startStreams(24);
        CPPUNIT_ASSERT(m_fleet->status("agent-m1").at("running").get<int>() > 0);
        m_fleet->signal("agent-m1", SIGSTOP);
        m_fleet->waitUntil([this] {
            return std::any_of(m_streams.begin(),
                               m_streams.end(),
                               [](const Fleet::Answer &it) {
                                   return it->done;
                               })
                   && countResumedStreams() > 0;
        });
        m_fleet->signal("agent-m1", SIGCONT);
        expectAllComplete();
    }

    /** An engine ends streams early, without the final event; they must be resumed elsewhere. */
    void streamIsTruncated()
    {
        m_fleet->waitDone(
            {m_fleet->call(fault("engine-1", {{"mode", "truncate"}, {"after_tokens", 7}, {"text", ""}}))});
        startStreams(12);
        expectAllComplete();
        CPPUNIT_ASSERT(countResumedStreams() > 0);
    }

    void noServerIsLeft()
    {
        startStreams(6);
        for (const auto *it : {"engine-1", "engine-2", "engine-3"}) {
            m_fleet->kill(it);
        }
        m_fleet->waitDone(m_streams);
        for (const auto &it : m_streams) {
            CPPUNIT_ASSERT_MESSAGE(it->error, it->complete);
            const auto stream = parseStream(it->body);
            CPPUNIT_ASSERT(!stream.hasDone);
            CPPUNIT_ASSERT_EQUAL(false, stream.verdict.at("complete").get<bool>());
            CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), stream.verdict.at("verdict").get<std::string>());
            CPPUNIT_ASSERT(!stream.verdict.at("reason").get<std::string>().empty());
        }
    }

    /** The error of the next server, with its own head and text, must not get into a stream that has begun. */
    void nextServerAnswersWithAnError()
    {
        m_fleet->waitDone(
            {m_fleet->call(fault("engine-1", {{"mode", "truncate"}, {"after_tokens", 7}, {"text", ""}}))});
        for (const auto *it : {"engine-2", "engine-3"}) {
            m_fleet->waitDone({m_fleet->call(fault(it, {{"mode", "reject"}, {"text", ""}}))});
        }
        std::size_t begun = 0;
        for (std::size_t i = 0; begun == 0 && i < 200; ++i) {
            const auto answer = m_fleet->stream(Fleet::entries()[i % 3], promptOf(i), answerTokens);
            m_fleet->waitDone({answer});
            if (!answer->body.starts_with("id: ")) {
                continue; // Rejected by the first server.
            }
            ++begun;
            CPPUNIT_ASSERT_MESSAGE(answer->error, answer->complete);
            CPPUNIT_ASSERT_MESSAGE(answer->body, answer->body.find("HTTP/1.1") == std::string::npos);
            const auto stream = parseStream(answer->body);
            CPPUNIT_ASSERT_MESSAGE(answer->body, !stream.hasDone);
            CPPUNIT_ASSERT_EQUAL(false, stream.verdict.at("complete").get<bool>());
            CPPUNIT_ASSERT_MESSAGE(answer->body, answer->body.find("rejected by fault") == std::string::npos);
        }
        CPPUNIT_ASSERT(begun > 0);
    }

private:
    turmericline::HttpClientRequest fault(const std::string &process, const json &value) const
    {
        return {"POST", fmt::format("http://127.0.0.1:{}/control/fault", m_fleet->port(process)), {}, value.dump()};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholeAnswerTest);
