#include "load_tool.h"

#include "fake_engine.h"
#include "load_tool_answer.h"
#include "load_tool_options.h"
#include "load_tool_plan.h"
#include "load_tool_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <thread>

using namespace turmericline;
using namespace std::chrono_literals;

/** Checks the load tool; a wrong verdict, schedule or latency would invalidate every measurement. */
class LoadToolTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadToolTest);
    CPPUNIT_TEST(reportsAllInvalidFlags);
    CPPUNIT_TEST(readsFlags);
    CPPUNIT_TEST(planIsReproducibleAndFollowsWeights);
    CPPUNIT_TEST(measuresStreamFromScheduledTime);
    CPPUNIT_TEST(streamWithoutVerdictMayHaveRun);
    CPPUNIT_TEST(headerVerdictOfRejection);
    CPPUNIT_TEST(openLoopDoesNotWaitForResponses);
    CPPUNIT_TEST(closedLoopWaitsForResponses);
    CPPUNIT_TEST_SUITE_END();

    static LoadOptions optionsFor(const std::string &url)
    {
        LoadOptions options;
        options.targets = {url};
        options.workspaces = {{"key", 1}};
        options.duration = std::chrono::duration<double>(0.05);
        options.rate = 400;
        options.maxTokens = 3;
        return options;
    }

    /** Runs a fake engine in a separate thread while @p body runs, because generateLoad() runs its own io_context. */
    template<typename Body>
    static void withEngine(const fakes::FakeEngineConfig &config, Body body)
    {
        asio::io_context io;
        const fakes::FakeEngine engine(io, config);
        std::thread thread([&io] {
            io.run();
        });
        body(engine.url());
        io.stop();
        thread.join();
    }

public:
    void reportsAllInvalidFlags()
    {
        const char *argv[] = {"load",
                              "--rate",
                              "-1",
                              "--mix",
                              "urgent=x",
                              "--bogus",
                              "--workspace",
                              ":2",
                              "--seed",
                              "--duration",
                              "soon",
                              "extra",
                              "--target",
                              "ftp://x",
                              "--service-share",
                              "0.1"};
        std::ostringstream out;
        std::ostringstream err;
        CPPUNIT_ASSERT_EQUAL(2, runLoad(std::size(argv), argv, out, err));
        for (const auto *text : {"--rate '-1'",
                                 "--mix 'urgent=x'",
                                 "--bogus",
                                 "--workspace ':2' has no key",
                                 "--seed needs a value",
                                 "--duration 'soon'",
                                 "extra",
                                 "--target 'ftp://x'",
                                 "--service-share needs --service"}) {
            CPPUNIT_ASSERT_MESSAGE(text, err.str().find(text) != std::string::npos);
        }
    }

    void readsFlags()
    {
        const char *argv[] = {"load",
                              "--target=http://a:1/",
                              "--target",
                              "http://b:2",
                              "--workspace",
                              "k1:3",
                              "--workspace",
                              "k2",
                              "--mix",
                              "urgent=1,batch=3",
                              "--closed",
                              "4",
                              "--json"};
        std::vector<std::string> errors;
        const auto options = parseLoadOptions(std::size(argv), argv, errors);
        CPPUNIT_ASSERT(errors.empty());
        CPPUNIT_ASSERT((options.targets == std::vector<std::string>{"http://a:1", "http://b:2"}));
        CPPUNIT_ASSERT(options.workspaces[0].key == "k1" && options.workspaces[0].weight == 3);
        CPPUNIT_ASSERT(options.workspaces[1].key == "k2" && options.workspaces[1].weight == 1);
        CPPUNIT_ASSERT((options.mix == std::array<double, 3>{1, 0, 3}));
        CPPUNIT_ASSERT(options.closedClients == 4 && options.json);
    }

    void planIsReproducibleAndFollowsWeights()
    {
        auto options = optionsFor("http://a");
        options.targets.emplace_back("http://b");
        options.mix = {1, 0, 3};
        options.workspaces = {{"small", 1}, {"large", 9}};
        options.service = "confirm";
        options.serviceShare = 0.5;
        LoadPlan plan(options);
        LoadPlan samePlan(options);
        int urgent = 0;
        int large = 0;
        int service = 0;
        std::chrono::duration<double> time{0};
        constexpr int n = 10'000;
        for (int i = 0; i < n; ++i) {
            const auto request = plan.nextRequest();
            const auto gap = plan.nextGap();
            CPPUNIT_ASSERT(gap == samePlan.nextGap());
            CPPUNIT_ASSERT(request.kind == LoadKind::Service
                           || plan.toHttp(request).body == samePlan.toHttp(request).body);
            CPPUNIT_ASSERT(request.workspace == samePlan.nextRequest().workspace);
            CPPUNIT_ASSERT(request.requestClass != RequestClass::Interactive);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(i % 2), request.target);
            urgent += request.requestClass == RequestClass::Urgent ? 1 : 0;
            large += request.workspace == 1 ? 1 : 0;
            service += request.kind == LoadKind::Service ? 1 : 0;
            time += gap;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, urgent / double(n), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, large / double(n), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, service / double(n), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(n / options.rate, time.count(), 1.0);
    }

    void measuresStreamFromScheduledTime()
    {
        const LoadClock::time_point t0{1h};
        LoadTotals totals;
        LoadAnswer answer(t0);
        answer.onHead(200, {{"content-type", "text/event-stream"}, {"x-verdict", "may-have-run"}});
        answer.onBody("id: 0\nda", t0 + 5ms, totals);
        answer.onBody("ta: {}\n\n", t0 + 7ms, totals);
        answer.onBody("id: 1\ndata: {}\n\nid: 3\ndata: {}\n\n", t0 + 10ms, totals);
        answer.onBody("data: [DONE]\n\nevent: verdict\ndata: {\"verdict\":\"run\"}\n\n", t0 + 11ms, totals);
        answer.onDone({true, true, 200, ""}, t0 + 12ms, totals);
        CPPUNIT_ASSERT(totals.firstToken.max() == 7ms);
        CPPUNIT_ASSERT(totals.betweenTokens.max() == 3ms && totals.betweenTokens.count() == 2);
        CPPUNIT_ASSERT(totals.total.max() == 12ms);
        CPPUNIT_ASSERT(totals.complete == 1 && totals.tokens == 3 && totals.badOffsets == 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totals.verdicts[static_cast<std::size_t>(Verdict::Run)]);
    }

    void streamWithoutVerdictMayHaveRun()
    {
        LoadTotals totals;
        LoadAnswer answer({});
        answer.onHead(200, {{"Content-Type", "text/event-stream"}, {"X-Verdict", "run"}});
        answer.onDone({false, true, 200, "cut"}, {}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totals.verdicts[static_cast<std::size_t>(Verdict::MayHaveRun)]);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totals.complete);
    }

    void headerVerdictOfRejection()
    {
        LoadTotals totals;
        LoadAnswer answer({});
        answer.onHead(429, {{"X-Verdict", "not-run"}});
        answer.onDone({true, true, 429, ""}, {}, totals);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, totals.verdicts[static_cast<std::size_t>(Verdict::NotRun)]);
        CPPUNIT_ASSERT(totals.complete == 0 && totals.rejection.count() == 1 && totals.total.count() == 0);
    }

    void openLoopDoesNotWaitForResponses()
    {
        // With one slot and long steps a tool that waits for responses would send only a few requests.
        fakes::FakeEngineConfig config;
        config.batch.slots = 1;
        config.batch.stepBase = 10ms;
        withEngine(config, [](const std::string &url) {
            auto options = optionsFor(url);
            LoadPlan plan(options);
            std::uint64_t expected = 0;
            for (auto t = plan.nextGap(); t < 50ms; t += plan.nextGap()) {
                ++expected;
            }
            const auto report = generateLoad(options);
            const auto &totals = report.totals[0][static_cast<std::size_t>(RequestClass::Interactive)];
            CPPUNIT_ASSERT_EQUAL(expected, totals.sent);
            CPPUNIT_ASSERT_EQUAL(expected, totals.complete);
            CPPUNIT_ASSERT_EQUAL(3 * expected, totals.tokens);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, totals.badOffsets);
            // The last response had to wait for the steps of all others.
            CPPUNIT_ASSERT(totals.total.max() + 50ms >= expected * 3 * 10ms);
        });
    }

    void closedLoopWaitsForResponses()
    {
        fakes::FakeEngineConfig config;
        config.batch.stepBase = 10ms;
        withEngine(config, [](const std::string &url) {
            auto options = optionsFor(url);
            options.closedClients = 2;
            const auto report = generateLoad(options);
            const auto &totals = report.totals[0][static_cast<std::size_t>(RequestClass::Interactive)];
            CPPUNIT_ASSERT(totals.sent >= 2 && totals.sent <= 4);
            CPPUNIT_ASSERT_EQUAL(totals.sent, totals.complete);
            std::ostringstream out;
            printLoadJson(report, out);
            CPPUNIT_ASSERT(out.str().find(R"("class":"interactive")") != std::string::npos);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadToolTest);
