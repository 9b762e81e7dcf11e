#include "fake_config.h"
#include "fake_engine.h"
#include "fake_instances.h"
#include "fake_service.h"
#include "http_client.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace turmericline::fakes;
using namespace std::chrono_literals;

/** Checks the fakes; other tests rely on their token text, counts, faults and lags. */
class FakesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakesTest);
    CPPUNIT_TEST(batchAdmitsByPriorityAndSlots);
    CPPUNIT_TEST(stepTimeFollowsSlowestRankAndPrefill);
    CPPUNIT_TEST(prefixCacheEvictsLeastRecent);
    CPPUNIT_TEST(engineResumesTheSameText);
    CPPUNIT_TEST(engineCancelsOnDisconnect);
    CPPUNIT_TEST(engineFaults);
    CPPUNIT_TEST(engineLoadReportsLag);
    CPPUNIT_TEST(engineRejectsOldFencingToken);
    CPPUNIT_TEST(serviceCountsRepeatedRuns);
    CPPUNIT_TEST(configWatchAndFaults);
    CPPUNIT_TEST(instanceListLags);
    CPPUNIT_TEST_SUITE_END();

    struct Answer
    {
        HttpClientResult result;
        HttpHeaders headers;
        std::string body;
        bool done = false;

        Json json() const
        {
            return Json::parse(body);
        }
    };

    asio::io_context m_io;
    HttpClient m_client{m_io};
    TimePoint m_now = TimePoint{} + 1h;

    std::shared_ptr<Answer> start(HttpClientRequest request)
    {
        auto answer = std::make_shared<Answer>();
        m_client.start(std::move(request),
                       {[answer](int, const HttpHeaders &headers) {
                            answer->headers = headers;
                        },
                        [answer](std::string_view chunk) {
                            answer->body += chunk;
                        },
                        [answer](const HttpClientResult &result) {
                            answer->result = result;
                            answer->done = true;
                        }});
        return answer;
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            m_io.run_one();
        }
    }

    Answer fetch(HttpClientRequest request)
    {
        const auto answer = start(std::move(request));
        runUntil([&] {
            return answer->done;
        });
        return *answer;
    }

    FakeEngineConfig engineConfig()
    {
        FakeEngineConfig config;
        config.batch.stepBase = 100us;
        config.batch.slots = 2;
        config.now = [this] {
            return m_now;
        };
        return config;
    }

    static HttpClientRequest completion(const FakeEngine &engine, const Json &body, HttpHeaders headers = {})
    {
        return {"POST", engine.url() + "/v1/completions", std::move(headers), body.dump()};
    }

    /** Concatenates the texts of a stream's token events. */
    static std::string textOf(const std::string &stream)
    {
        std::string text;
        for (std::size_t at = 0; (at = stream.find("data: {", at)) != std::string::npos; ++at) {
            const auto line = stream.substr(at + 6, stream.find('\n', at) - at - 6);
            text += Json::parse(line)["choices"][0]["text"].get<std::string>();
        }
        return text;
    }

public:
    void batchAdmitsByPriorityAndSlots()
    {
        BatchConfig config;
        config.slots = 2;
        EngineBatch batch(config);
        batch.submit({1, RequestClass::Batch, "a", 0, 2});
        batch.submit({2, RequestClass::Interactive, "b", 0, 2});
        batch.submit({3, RequestClass::Urgent, "c", 0, 1});
        batch.beginStep();
        CPPUNIT_ASSERT((batch.admitted() == std::vector<std::uint64_t>{3, 2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batch.finishStep().size());
        batch.beginStep();
        CPPUNIT_ASSERT((batch.admitted() == std::vector<std::uint64_t>{1}));
        batch.cancel(1);
        const auto tokens = batch.finishStep();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tokens.size());
        CPPUNIT_ASSERT(tokens[0].last && tokens[0].job == 2);
        CPPUNIT_ASSERT(!batch.beginStep());
    }

    void stepTimeFollowsSlowestRankAndPrefill()
    {
        BatchConfig config;
        config.ranks = 2;
        config.stepBase = 1000us;
        config.stepPerRequest = 100us;
        config.stepPerPrefillToken = 10us;
        EngineBatch batch(config);
        const std::string prompt(2 * blockBytes, 'x');
        batch.submit({1, RequestClass::Urgent, prompt, 0, 1});
        CPPUNIT_ASSERT(batch.beginStep() == 1100us + 32 * 10us);
        batch.finishStep();
        batch.submit({2, RequestClass::Urgent, prompt, 0, 9});
        batch.setRankFactor(1, 3);
        CPPUNIT_ASSERT(batch.beginStep() == 3300us);
        batch.setRankFactor(1, 0);
        CPPUNIT_ASSERT(!batch.beginStep());
    }

    void prefixCacheEvictsLeastRecent()
    {
        PrefixCache cache(2);
        std::vector<CacheEvent> events;
        const auto a = promptBlocks(std::string(blockBytes, 'a'));
        const auto b = promptBlocks(std::string(2 * blockBytes, 'b'));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.use(a, events));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cache.use(a, events));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cache.use(b, events));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cache.use(b, events));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, events.size());
        CPPUNIT_ASSERT(!events[2].stored && events[2].block == a[0]);
    }

    void engineResumesTheSameText()
    {
        const FakeEngine engine(m_io, engineConfig());
        const Json body = {{"prompt", "hello"}, {"max_tokens", 6}, {"stream", true}, {"user", "u"}};
        const auto all = fetch(completion(engine, body));
        const auto rest = fetch(completion(engine, body, {{"X-Resume-Offset", "4"}}));
        CPPUNIT_ASSERT(all.body.starts_with("id: 0\n") && rest.body.starts_with("id: 4\n"));
        CPPUNIT_ASSERT(all.body.ends_with("data: [DONE]\n\n"));
        CPPUNIT_ASSERT(textOf(all.body).ends_with(textOf(rest.body)));
        const auto whole = fetch(completion(engine, {{"prompt", "hello"}, {"max_tokens", 6}})).json();
        CPPUNIT_ASSERT_EQUAL(textOf(all.body), whole["choices"][0]["text"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(6, whole["usage"]["completion_tokens"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, engine.counts().at("u"));
    }

    void engineCancelsOnDisconnect()
    {
        const FakeEngine engine(m_io, engineConfig());
        bool started = false;
        const auto id
            = m_client.start(completion(engine, {{"prompt", "x"}, {"max_tokens", 1'000'000}, {"stream", true}}),
                             {{},
                              [&](std::string_view) {
                                  started = true;
                              },
                              {}});
        runUntil([&] {
            return started;
        });
        m_client.cancel(id);
        runUntil([&] {
            return engine.running() == 0;
        });
    }

    void engineFaults()
    {
        bool crashed = false;
        auto config = engineConfig();
        config.crash = [&] {
            crashed = true;
        };
        FakeEngine engine(m_io, config);
        engine.setFault({{"mode", "truncate"}, {"text", "poison"}, {"after_tokens", 2}});
        const Json body = {{"prompt", "poison"}, {"stream", true}};
        const auto cut = fetch(completion(engine, body)).body;
        CPPUNIT_ASSERT(cut.find("id: 1\n") != std::string::npos && cut.find("id: 2\n") == std::string::npos);
        CPPUNIT_ASSERT(cut.find("[DONE]") == std::string::npos);
        CPPUNIT_ASSERT(fetch(completion(engine, {{"prompt", "fine"}})).result.complete);

        engine.setFault({{"mode", "stall"}, {"text", "poison"}, {"after_tokens", 1}});
        const auto stalled = start(completion(engine, body));
        runUntil([&] {
            return !stalled->body.empty();
        });
        engine.setFault({{"mode", "ok"}});
        runUntil([&] {
            return stalled->done;
        });
        CPPUNIT_ASSERT(stalled->body.ends_with("[DONE]\n\n"));

        engine.setFault({{"mode", "abort"}, {"text", "poison"}, {"after_tokens", 3}});
        const auto aborted = fetch(completion(engine, body));
        CPPUNIT_ASSERT(!aborted.result.complete && aborted.body.find("id: 2\n") != std::string::npos);

        engine.setFault({{"mode", "crash"}, {"text", "poison"}});
        start(completion(engine, body));
        runUntil([&] {
            return crashed;
        });
    }

    void engineLoadReportsLag()
    {
        auto config = engineConfig();
        config.loadLag = 500ms;
        config.cacheEventLag = 500ms;
        config.cacheEventGap = 2;
        config.batch.stepBase = 1h;
        const FakeEngine engine(m_io, config);
        start(completion(engine, {{"prompt", std::string(3 * blockBytes, 'x')}}));
        runUntil([&] {
            return engine.running() == 1;
        });
        const HttpClientRequest load{"GET", engine.url() + "/load", {}, ""};
        const HttpClientRequest events{"GET", engine.url() + "/cache-events?after=0", {}, ""};
        CPPUNIT_ASSERT_EQUAL(0, fetch(load).json()["running"].get<int>());
        CPPUNIT_ASSERT(fetch(events).json()["events"].empty());
        m_now += 500ms;
        CPPUNIT_ASSERT_EQUAL(1, fetch(load).json()["running"].get<int>());
        const auto lagged = fetch(events).json();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, lagged["events"].size());
        CPPUNIT_ASSERT_EQUAL(3, lagged["last"].get<int>());
    }

    void engineRejectsOldFencingToken()
    {
        for (const bool checks : {true, false}) {
            auto config = engineConfig();
            config.checksFencing = checks;
            const FakeEngine engine(m_io, config);
            const auto order = [&](const char *token) {
                return fetch({"POST", engine.url() + "/orders", {{"X-Fencing-Token", token}}, R"({"load":"m"})"});
            };
            CPPUNIT_ASSERT_EQUAL(200, order("7").result.status);
            const auto old = order("6");
            CPPUNIT_ASSERT_EQUAL(checks ? 409 : 200, old.result.status);
            CPPUNIT_ASSERT_EQUAL(7, old.json()["current"].get<int>());
            CPPUNIT_ASSERT_EQUAL(checks ? std::size_t{1} : std::size_t{2}, engine.orders().size());
        }
    }

    void serviceCountsRepeatedRuns()
    {
        FakeService service(m_io, {});
        const HttpClientRequest call{"PUT", service.url() + "/any/path", {{"Idempotency-Key", "k"}}, "body"};
        fetch(call);
        CPPUNIT_ASSERT_EQUAL(2, fetch(call).json()["run"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, fetch({"GET", service.url() + "/counts", {}, ""}).json()["k"].get<int>());
        service.setFault({{"mode", "reject"}, {"text", "body"}});
        CPPUNIT_ASSERT_EQUAL(503, fetch(call).result.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, service.counts().at("k"));
    }

    void configWatchAndFaults()
    {
        FakeConfig config(m_io);
        const auto read = [&](const std::string &query) {
            return HttpClientRequest{"GET", config.url() + "/v1/document" + query, {}, ""};
        };
        CPPUNIT_ASSERT_EQUAL(404, fetch(read("")).result.status);
        const auto watch = start(read("?after=0&wait_ms=600000"));
        runUntil([&] {
            return config.waitingCount() == 1;
        });
        CPPUNIT_ASSERT_EQUAL(200,
                             fetch({"PUT", config.url() + "/control/document", {}, R"({"version":3})"}).result.status);
        runUntil([&] {
            return watch->done;
        });
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"version":3})"), watch->body);
        CPPUNIT_ASSERT_EQUAL(304, fetch(read("?after=3&wait_ms=1")).result.status);
        config.publish(4, "four");
        config.setFault({{"mode", "stale"}, {"version", 3}});
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"version":3})"), fetch(read("")).body);
        config.setFault({{"mode", "down"}});
        CPPUNIT_ASSERT_EQUAL(503, fetch(read("?after=9&wait_ms=600000")).result.status);
        config.setFault({{"mode", "slow"}, {"delay_ms", 1}});
        CPPUNIT_ASSERT_EQUAL(std::string("four"), fetch(read("")).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, config.callCount());
    }

    void instanceListLags()
    {
        FakeInstancesConfig config;
        config.lag = 30s;
        config.initial = Json::parse(R"([{"name":"e1","state":"live"}])");
        config.now = [this] {
            return m_now;
        };
        FakeInstances instances(m_io, config);
        const HttpClientRequest list{"GET", instances.url() + "/v1/instances", {}, ""};
        fetch({"PUT", instances.url() + "/control/instances", {}, R"([{"name":"e1","state":"leaving"}])"});
        m_now += 29s;
        CPPUNIT_ASSERT_EQUAL(std::string("live"), fetch(list).json()[0]["state"].get<std::string>());
        m_now += 1s;
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), fetch(list).json()[0]["state"].get<std::string>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakesTest);
