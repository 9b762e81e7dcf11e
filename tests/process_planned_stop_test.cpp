#include "broken_answer_fixture.h"
#include "env_number.h"

#include <csignal>
#include <random>
#include <vector>

/**
 * Guards against requests that come during a planned stop and are cut at its end: each gets its answer, or a refusal
 * that is true. STOP_SEED is the seed, STOP_CASES the number of stops.
 */
class PlannedStopTest : public BrokenAnswerFixture
{
    CPPUNIT_TEST_SUITE(PlannedStopTest);
    CPPUNIT_TEST(lateRequestsAreAnsweredOrRefused);
    CPPUNIT_TEST(requestInFlightAtTheEndIsToldSo);
    CPPUNIT_TEST_SUITE_END();

    /** Answer that takes longer than any grace period here. */
    static constexpr std::chrono::milliseconds endless{60'000};

    struct LateClient
    {
        std::string id;
        std::string path;
        std::unique_ptr<RawCaller> caller;
        std::chrono::milliseconds sentAt{};
        std::chrono::milliseconds work{};
        bool isKept = false; ///< The connection was open and used before the stop.
    };

    std::set<std::string> m_passedOn; ///< Ids of the requests that have reached the server.

    static std::string idOf(const std::string &text)
    {
        constexpr std::string_view name = "Attempt-Id: ";
        const auto begin = text.find(name) + name.size();
        return text.substr(begin, text.find('\r', begin) - begin);
    }

    /** The path "/u/MS" has the server work for so many milliseconds. */
    void serveByPath()
    {
        m_server = std::make_unique<ScriptedServer>(m_io, [this](const std::string &text) {
            const auto id = idOf(text);
            m_passedOn.insert(id);
            ServerScript script{withLength("answer", "Connection: close\r\n"), ServerEnd::HalfClose};
            script.delay = std::chrono::milliseconds(std::stoi(text.substr(text.find('/', 6) + 1)));
            return script;
        });
        m_store->put(
            "servers/i-0",
            fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"d","state":"ready"}})", m_server->port()));
        for (int n = 1; n < serverNames; ++n) {
            m_store->remove(fmt::format("servers/i-{}", n));
        }
    }

    static std::string requestOf(const LateClient &client)
    {
        return fmt::format("POST {}{} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {}\r\nContent-Length: 4\r\n\r\nbody",
                           client.path,
                           client.work.count(),
                           client.id);
    }

    void runUntil(std::chrono::steady_clock::time_point time)
    {
        asio::steady_timer timer(m_io, time);
        bool isOver = false;
        timer.async_wait([&isOver](asio::error_code) {
            isOver = true;
        });
        while (!isOver) {
            m_io.run_one();
        }
    }

    /** Returns nothing if the gateway has ended. */
    std::unique_ptr<RawCaller> connect()
    {
        try {
            return std::make_unique<RawCaller>(m_io, m_gateway->process().port());
        } catch (const asio::system_error &) {
            return nullptr;
        }
    }

    /** Sends requests at random times of a grace period; the connections of some were open before. */
    void playStop(std::mt19937_64 &random, const std::string &name)
    {
        const auto between = [&random](int low, int high) {
            return std::chrono::milliseconds(std::uniform_int_distribution<int>(low, high)(random));
        };
        const auto grace = between(1'500, 5'000);
        const auto rotation = between(0, 3'000);
        startGateway({fmt::format("--grace-ms={}", grace.count()), fmt::format("--rotation-ms={}", rotation.count())});
        m_passedOn.clear();
        std::vector<LateClient> clients(60);
        for (std::size_t n = 0; n < clients.size(); ++n) {
            auto &it = clients[n];
            it.id = fmt::format("late{}", n);
            it.path = n % 3 == 0 ? "/s/" : "/u/";
            it.work = between(0, 2'500);
            it.sentAt = between(0, static_cast<int>(grace.count()) - 700);
            it.isKept = n % 2 == 0;
            if (it.isKept) {
                it.caller = std::make_unique<RawCaller>(m_io, m_gateway->process().port());
                LateClient first{"first" + it.id, it.path, nullptr, {}, {}, false};
                it.caller->send(requestOf(first));
                CPPUNIT_ASSERT_EQUAL(200, it.caller->answer().status);
            }
        }
        std::sort(clients.begin(), clients.end(), [](const LateClient &a, const LateClient &b) {
            return a.sentAt < b.sentAt;
        });
        m_gateway->process().signal(SIGTERM);
        while (m_gateway->readiness() == 200) { // Until it has noticed; a request from before may be cut at the end.
        }
        const auto start = std::chrono::steady_clock::now();
        for (auto &it : clients) {
            runUntil(start + it.sentAt);
            if (!it.isKept) {
                it.caller = connect();
            }
            if (it.caller) {
                it.caller->send(requestOf(it));
            }
        }
        for (const auto &it : clients) {
            if (!it.caller) {
                continue;
            }
            const auto got = readClientAnswer(it.caller->rest());
            const auto wasPassedOn = m_passedOn.contains(it.id);
            const auto text = describe(fmt::format("{}: grace {} rotation {} sent at {} work {} kept {} passed on {}",
                                                   name,
                                                   grace.count(),
                                                   rotation.count(),
                                                   it.sentAt.count(),
                                                   it.work.count(),
                                                   it.isKept,
                                                   wasPassedOn),
                                       got);
            if (got.answer.status == 503) {
                CPPUNIT_ASSERT_MESSAGE(text, got.isWhole && !wasPassedOn);
                CPPUNIT_ASSERT_MESSAGE(text, !got.answer.header("Retry-After").empty());
            } else if (it.isKept && got.answer.status == 0) {
                CPPUNIT_ASSERT_MESSAGE(text, !wasPassedOn); // It crossed the close of the idle connection.
            } else {
                expectWhole(text, got, "answer");
            }
        }
    }

public:
    void lateRequestsAreAnsweredOrRefused()
    {
        serveByPath();
        const auto seed = envNumber("STOP_SEED", 20261207);
        std::mt19937_64 random(seed);
        for (std::uint64_t n = 0; n < envNumber("STOP_CASES", 4); ++n) {
            playStop(random, fmt::format("STOP_SEED={} stop {}", seed, n));
        }
    }

    /** A request from before the stop may last longer than the grace period; its client learns that it may have run. */
    void requestInFlightAtTheEndIsToldSo()
    {
        serveByPath();
        startGateway({"--grace-ms=1500", "--rotation-ms=100"});
        for (const auto *path : {"/u/", "/s/", "/e/"}) {
            LateClient client{std::string("early") + path[1], path, nullptr, {}, endless, false};
            client.caller = std::make_unique<RawCaller>(m_io, m_gateway->process().port());
            client.caller->send(requestOf(client));
            while (!m_passedOn.contains(client.id)) {
                m_io.run_one();
            }
            m_gateway->process().signal(SIGTERM);
            expectFailure(path, readClientAnswer(client.caller->rest()));
            CPPUNIT_ASSERT_EQUAL(0, m_gateway->process().waitForExit());
            startGateway({"--grace-ms=1500", "--rotation-ms=100"});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);
