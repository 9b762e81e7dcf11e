#include "fake_store.h"
#include "gateway_process.h"
#include "http_caller.h"
#include "scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <optional>
#include <vector>

using namespace turmericline;

/**
 * Guards the calls that gateways and expert agents make themselves (to the store, ranks, agents and other gateways; all by
 * HttpCaller) against broken replies, and the processes against replies without end.
 */
class EndlessReplyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndlessReplyTest);
    CPPUNIT_TEST(brokenReplyIsNone);
    CPPUNIT_TEST(soundReplyIsTaken);
    CPPUNIT_TEST(expertAgentBoundsRepliesOfItsRank);
    CPPUNIT_TEST(processesBoundRepliesOfTheStore);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t agentLimitKiB = 128U << 10U;
    static constexpr std::uint64_t gatewayLimitKiB = 260U << 10U;
    static constexpr std::chrono::seconds playTime{3};

    asio::io_context m_io;

    std::optional<HttpReply> call(const ServerScript &script, std::size_t bodyBytes = 4)
    {
        ScriptedServer server(m_io, [&script](const std::string &) {
            return script;
        });
        HttpCaller caller(m_io);
        std::optional<std::optional<HttpReply>> got;
        caller.post(std::chrono::steady_clock::now(),
                    fmt::format("127.0.0.1:{}", server.port()),
                    "/x",
                    "text/plain",
                    std::string(bodyBytes, 'u'),
                    std::chrono::seconds(20),
                    [&got](std::optional<HttpReply> reply, const std::string &) {
                        got = std::move(reply);
                    });
        m_io.restart();
        while (!got) {
            m_io.run_one();
        }
        return *got;
    }

    static std::vector<ServerScript> endlessReplies()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        std::vector<ServerScript> scripts;
        for (const auto &[start, rest] :
             std::vector<std::pair<std::string, std::string>>{{"", "x"},
                                                              {head, "X: y\r\n"},
                                                              {"", "HTTP/1.1 100 Continue\r\n\r\n"},
                                                              {head + "\r\n{\"a\":\"", "x"},
                                                              {head + "\r\n[", "0,"},
                                                              {chunked, "1\r\nx\r\n"},
                                                              {chunked + "0\r\n", "X: y\r\n"}}) {
            scripts.push_back({start, ServerEnd::Repeat, rest, true});
        }
        return scripts;
    }

    void runFor(std::chrono::milliseconds time)
    {
        asio::steady_timer timer(m_io, time);
        bool isOver = false;
        timer.async_wait([&isOver](asio::error_code) {
            isOver = true;
        });
        m_io.restart();
        while (!isOver) {
            m_io.run_one();
        }
    }

    /** Answers each request with the next one of the endless replies. */
    std::unique_ptr<ScriptedServer> endlessServer()
    {
        return std::make_unique<ScriptedServer>(m_io,
                                                [scripts = endlessReplies(), n = std::size_t{0}](const auto &) mutable {
                                                    return scripts[n++ % scripts.size()];
                                                });
    }

    static std::vector<std::string> agentArguments(std::uint16_t storePort)
    {
        return {"--name=a",
                "--domain=d",
                "--peer=127.0.0.1:0",
                fmt::format("--store=127.0.0.1:{}", storePort),
                "--log-level=error"};
    }

public:
    void brokenReplyIsNone()
    {
        const std::string start = "HTTP/1.1 200 OK\r\n";
        const std::vector<ServerScript> scripts{
            {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nab", ServerEnd::HalfClose, {}, true},
            {"HTTP/1.1 0200 OK\r\nContent-Length: 2\r\n\r\nab", ServerEnd::HalfClose, {}, true},
            {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nab", ServerEnd::HalfClose, {}, true},
            {start + "Content-Length : 2\r\n\r\nabcd", ServerEnd::HalfClose, {}, true},
            {start + "A\x01: 2\r\n\r\nabcd", ServerEnd::HalfClose, {}, true},
            {start + "Content-Le", ServerEnd::HalfClose, {}, true},
            {start + "Content-Length: 3\r\n\r\nab", ServerEnd::HalfClose, {}, true},
            {start + "\r\nab", ServerEnd::Reset, {}, true},
        };
        for (const auto &it : scripts) {
            CPPUNIT_ASSERT_MESSAGE(it.bytes, !call(it));
        }
        for (int n = 0; n < 20; ++n) {
            CPPUNIT_ASSERT(
                !call({start + "\r\nab", ServerEnd::Reset, {}, false, std::chrono::milliseconds(n)}, 12'000'000));
        }
    }

    void soundReplyIsTaken()
    {
        for (const std::string bytes : {"HTTP/1.1 200\r\n\r\nab", "HTTP/1.0 200 OK\r\ncontent-length:2\r\n\r\nab"}) {
            const auto reply = call({bytes, ServerEnd::HalfClose, {}, true});
            CPPUNIT_ASSERT(reply && reply->status == 200 && reply->body == "ab");
        }
        CPPUNIT_ASSERT(call({"HTTP/1.1 200 OK\r\n\r\nab", ServerEnd::HalfClose}, 12'000'000));
    }

    void expertAgentBoundsRepliesOfItsRank()
    {
        const auto rank = endlessServer();
        fakes::FakeStore store(m_io);
        store.put("servers/i-1",
                  fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","state":"ready","group":)"
                              R"({{"name":"g","epoch":1,"rank":0,"state":"open"}},"size":1,"born":1}})",
                              rank->port()));
        ChildProcess agent(m_io, "turmericline-expert-agent", agentArguments(store.port()));
        agent.port("peer_port");
        runFor(playTime);
        CPPUNIT_ASSERT(rank->requestCount() > 0);
        const auto peak = agent.memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak) + " KiB", peak < agentLimitKiB);
        agent.signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, agent.waitForExit());
    }

    void processesBoundRepliesOfTheStore()
    {
        const auto store = endlessServer();
        ChildProcess agent(m_io, "turmericline-expert-agent", agentArguments(store->port()));
        agent.port("peer_port");
        ChildProcess gateway(m_io,
                             "turmericline-gateway",
                             {"--name=g",
                              "--domain=d",
                              "--listen=127.0.0.1:0",
                              "--ready=127.0.0.1:0",
                              fmt::format("--store=127.0.0.1:{}", store->port()),
                              "--log-level=error"});
        gateway.port("port");
        runFor(playTime);
        CPPUNIT_ASSERT(store->requestCount() > endlessReplies().size());
        const auto agentPeak = agent.memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(agentPeak) + " KiB", agentPeak < agentLimitKiB);
        const auto gatewayPeak = gateway.memoryKiB("VmHWM");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(gatewayPeak) + " KiB", gatewayPeak < gatewayLimitKiB);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessReplyTest);
