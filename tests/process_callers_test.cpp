#include "caller_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace {

struct Case
{
    const char *name;
    std::string bytes;
    int status; ///< 0 for a connection that ends without an answer.
};

using Fixture = CallerFixture;

std::string without(std::string text, const std::string &part)
{
    return text.erase(text.find(part), part.size());
}

std::string with(std::string text, const std::string &part, const std::string &replacement)
{
    return text.replace(text.find(part), part.size(), replacement);
}

void expectRefusal(const std::string &name, const RawAnswer &answer, int status)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, status, answer.status);
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + answer.body, body.is_object() && body.contains("error"));
    const auto &error = body["error"];
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, answer.header("X-Verdict"), error.value("verdict", ""));
    CPPUNIT_ASSERT_MESSAGE(name, error["verdict"] == "not-run" || error["verdict"] == "may-have-run");
    CPPUNIT_ASSERT_MESSAGE(name, !error.value("type", "").empty() && !error.value("message", "").empty());
}

} // namespace

/**
 * Guards the handling of invalid input: it is refused with an error, or at worst its connection is closed. Other
 * callers are not affected, and the memory of the entry stays bounded. RESTinio 0.6 has no public hook that would allow
 * an answer after a syntax error, its own hard limit or its read timeout, so these connections are closed without one
 * (status 0 below).
 */
class CallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersTest);
    CPPUNIT_TEST(refusesBadRequests);
    CPPUNIT_TEST(closesNonHttpConnections);
    CPPUNIT_TEST(closesSlowSenders);
    CPPUNIT_TEST(refusesExcessConnections);
    CPPUNIT_TEST(refusesExcessCalls);
    CPPUNIT_TEST(answersPipelinedRequestsInOrder);
    CPPUNIT_TEST(answersUpgradeRequestOnce);
    CPPUNIT_TEST(forwardsUnusualHeaderValues);
    CPPUNIT_TEST(stalledReadersTakeBoundedMemory);
    CPPUNIT_TEST(cancelsWhenCallerLeavesStream);
    CPPUNIT_TEST(cancelsWhenCallerLeavesBeforeFirstToken);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<Case> authorizationCases()
    {
        const std::string key = "Authorization: Bearer lab-key\r\n";
        const auto valid = Fixture::completion(false, 1);
        const auto call = Fixture::request("POST /services/confirm/x", {}, "{}");
        return {
            {"no key", without(valid, key), 401},
            {"wrong key", with(valid, "lab-key", "lab-kez"), 401},
            {"no key for models", without(Fixture::models(), key), 401},
            {"no key for a ticket", without(Fixture::request("POST /v1/tickets", {}, "{}"), key), 401},
            {"other scheme", with(valid, "Bearer", "Basic"), 401},
            {"model of another workspace", with(valid, "lab-key", "other-key"), 403},
            {"service of another workspace", with(call, "lab-key", "other-key"), 403},
            {"unknown service", with(call, "confirm", "nothing"), 404},
            {"two keys", with(valid, key, key + "Authorization: Bearer other-key\r\n"), 400},
            {"repeated idempotency key",
             Fixture::request("POST /services/confirm/x", "Idempotency-Key: a\r\nidempotency-key: b\r\n", "{}"),
             400},
            {"empty idempotency key", Fixture::request("POST /services/confirm/x", "Idempotency-Key:\r\n", "{}"), 400},
            {"long idempotency key",
             Fixture::request("POST /services/confirm/x", "Idempotency-Key: " + std::string(256, 'k') + "\r\n", "{}"),
             400},
        };
    }

    static std::vector<Case> formCases()
    {
        const auto post = [](const std::string &body) {
            return Fixture::request("POST /v1/completions", {}, body);
        };
        const auto fields = [](int count) {
            std::string text;
            for (int i = 0; i < count; ++i) {
                text += "X-" + std::to_string(i) + ": y\r\n";
            }
            return text;
        };
        return {
            {"bad JSON", post("{\"model\":"), 400},
            {"no object", post("[]"), 400},
            {"bad UTF-8", post("{\"model\":\"assistant\",\"prompt\":\"\xff\xfe\"}"), 400},
            {"deep JSON", post(std::string(1'000, '[')), 400},
            {"unknown model", post(R"({"model":"x","prompt":"y"})"), 404},
            {"unknown path", Fixture::request("GET /nothing"), 404},
            {"method of a model path", Fixture::request("GET /v1/completions"), 405},
            {"method of the model list", Fixture::request("DELETE /v1/models"), 405},
            {"method of tickets", Fixture::request("GET /v1/tickets"), 405},
            {"bad class", Fixture::completion(false, 1, "X-Class: royal\r\n"), 400},
            {"bad deadline", Fixture::completion(false, 1, "X-Deadline-Ms: -1\r\n"), 400},
            {"absurd deadline", Fixture::completion(false, 1, "X-Deadline-Ms: 99999999999999999999\r\n"), 400},
            {"body above the limit", post(std::string(1'500, ' ')), 413},
            {"ticket body above the limit", Fixture::request("POST /v1/tickets", {}, std::string(1'500, ' ')), 413},
            {"field above the limit",
             Fixture::request("GET /v1/models", "X-A: " + std::string(20'000, 'a') + "\r\n"),
             431},
            {"long field name", Fixture::request("GET /v1/models", std::string(20'000, 'a') + ": a\r\n"), 431},
            {"long target", Fixture::request("GET /" + std::string(20'000, 'a')), 431},
            {"control byte", Fixture::completion(false, 1, "Content-Type: \x01\r\n"), 400},
            {"too many fields", Fixture::request("GET /v1/models", fields(150)), 431},
        };
    }

    /** As many tokens as an agent accepts within the longest deadline; about 100 MB of events. */
    static std::string longStream()
    {
        return Fixture::completion(true, 500'000, "X-Deadline-Ms: 600000\r\n");
    }

    static void setStalled(Fixture &fixture, bool isStalled)
    {
        fixture.engine.setFault({{"mode", "ok"}, {"rank", 0}, {"factor", isStalled ? 0 : 1}});
    }

    /** Waits until the agent has cancelled its request to the engine. */
    static void waitForAgentIdle(Fixture &fixture)
    {
        const auto port = fixture.modelAgent.port("ops_port");
        const auto running = [&] {
            const auto status = fixture.ask(port, "GET /status HTTP/1.1\r\nHost: x\r\n\r\n");
            return nlohmann::json::parse(status.body).at("running").get<int>();
        };
        while (running() > 0) {
        }
    }

    static void expectStillServing(Fixture &fixture, const std::string &name)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200, fixture.ask(Fixture::models()).status);
    }

public:
    void refusesBadRequests()
    {
        Fixture fixture({"--max-body-bytes", "1024"});
        for (const auto &cases : {authorizationCases(), formCases()}) {
            for (const auto &it : cases) {
                const auto answer = fixture.ask(it.bytes);
                expectRefusal(it.name, answer, it.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status == 405, !answer.header("Allow").empty());
            }
        }
        expectStillServing(fixture, "after all");
    }

    void closesNonHttpConnections()
    {
        Fixture fixture({"--max-body-bytes", "1024"});
        const std::vector<Case> cases{
            {"no HTTP", "NONSENSE\r\n\r\n", 0},
            {"TLS to the plain port", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 and so on", 21), 0},
            {"unknown method", Fixture::request("FROB /v1/models"), 0},
            {"two lengths", Fixture::request("POST /v1/completions", "Content-Length: 7\r\n", "{}"), 0},
            {"length and chunks", Fixture::request("POST /v1/completions", "Transfer-Encoding: chunked\r\n", "{}"), 0},
            {"control byte", Fixture::request("GET /v1/models", "X-A: a\x01z\r\n"), 0},
            {"body far above the limit", Fixture::request("POST /v1/completions", {}, std::string(5'000, ' ')), 0},
            {"head far above the limit", Fixture::request("GET /v1/models", "X-A: " + std::string(90'000, 'a')), 0},
        };
        for (const auto &it : cases) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, fixture.ask(it.bytes).status);
            expectStillServing(fixture, it.name);
        }
    }

    void closesSlowSenders()
    {
        Fixture fixture({"--read-timeout-ms", "100"});
        RawCaller silent(fixture.io, fixture.entry.port());
        RawCaller slowHead(fixture.io, fixture.entry.port());
        RawCaller slowBody(fixture.io, fixture.entry.port());
        slowHead.send("POST /v1/completions HTTP/1.1\r\nHost:");
        slowBody.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{");
        CPPUNIT_ASSERT_EQUAL(std::string(), silent.rest());
        // The timeout covers the whole request; received bytes must not extend it.
        while (slowHead.send("x") && slowBody.send(" ")) {
            fixture.io.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), slowHead.rest());
        CPPUNIT_ASSERT_EQUAL(std::string(), slowBody.rest());
        expectStillServing(fixture, "after slow senders");
    }

    void refusesExcessConnections()
    {
        Fixture fixture({"--max-connections", "8"});
        std::deque<RawCaller> callers;
        const auto expectServed = [&callers] {
            for (auto &it : callers) {
                it.send(Fixture::models());
                CPPUNIT_ASSERT_EQUAL(200, it.answer().status);
            }
        };
        for (int i = 0; i < 8; ++i) {
            callers.emplace_back(fixture.io, fixture.entry.port());
        }
        expectServed();
        RawCaller excess(fixture.io, fixture.entry.port());
        excess.send(Fixture::models() + Fixture::models());
        const auto answer = excess.answer();
        expectRefusal("excess connection", answer, 503);
        CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::string(), excess.rest());
        expectServed();
        callers.pop_back();
        while (fixture.ask(Fixture::models()).status != 200) { // Until the entry has noticed the closed connection.
        }
    }

    void refusesExcessCalls()
    {
        Fixture fixture({"--max-calls", "2"});
        setStalled(fixture, true);
        RawCaller first(fixture.io, fixture.entry.port());
        RawCaller second(fixture.io, fixture.entry.port());
        first.send(Fixture::completion(false, 1));
        second.send(Fixture::completion(false, 1));
        while (fixture.engine.running() + fixture.engine.queued() < 2) {
            fixture.io.run_one();
        }
        const auto answer = fixture.ask(Fixture::completion(false, 1));
        expectRefusal("excess call", answer, 503);
        CPPUNIT_ASSERT(!answer.header("Retry-After").empty());
        expectStillServing(fixture, "other paths");
        setStalled(fixture, false);
        CPPUNIT_ASSERT_EQUAL(200, first.answer().status);
        CPPUNIT_ASSERT_EQUAL(200, second.answer().status);
    }

    void answersPipelinedRequestsInOrder()
    {
        Fixture fixture({});
        RawCaller caller(fixture.io, fixture.entry.port());
        caller.send(Fixture::completion(false, 5) + Fixture::models() + Fixture::request("GET /nothing")
                    + Fixture::completion(true, 3));
        CPPUNIT_ASSERT(caller.answer().body.find("\"choices\"") != std::string::npos);
        CPPUNIT_ASSERT(caller.answer().body.find("\"list\"") != std::string::npos);
        expectRefusal("third", caller.answer(), 404);
        CPPUNIT_ASSERT(caller.readUntil("data: [DONE]"));
    }

    /** Upgrades are not supported: the entry answers once and runs no request that follows on the connection. */
    void answersUpgradeRequestOnce()
    {
        Fixture fixture({});
        const auto countBefore = fixture.service.counts().at("");
        const std::string upgrade = "Connection: Upgrade\r\nUpgrade: websocket\r\n";
        for (const auto &line : {"GET /v1/models", "CONNECT /v1/models", "POST /services/confirm/x"}) {
            RawCaller caller(fixture.io, fixture.entry.port());
            caller.send(Fixture::request(line, upgrade) + Fixture::request("POST /services/confirm/behind"));
            CPPUNIT_ASSERT_MESSAGE(line, caller.answer().status != 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(line, std::string(), caller.rest());
        }
        expectStillServing(fixture, "after upgrades");
        CPPUNIT_ASSERT_EQUAL(countBefore + 1, fixture.service.counts().at(""));
    }

    /** Bytes that HTTP/1.1 allows must not break the HTTP/2 connection to the agent, which other callers share. */
    void forwardsUnusualHeaderValues()
    {
        Fixture fixture({});
        RawCaller other(fixture.io, fixture.entry.port());
        other.send(longStream());
        CPPUNIT_ASSERT(other.readUntil("data: "));
        for (const auto &it : {"text/plain \t", "\xff\xfe", "a\tb"}) {
            const auto headers = "Content-Type: " + std::string(it) + "\r\n";
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 200, fixture.ask(Fixture::completion(false, 1, headers)).status);
        }
        CPPUNIT_ASSERT_EQUAL(200, fixture.ask(Fixture::request("POST /services/confirm/\xff?q=\xfe", {}, "{}")).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.engine.running());
    }

    /**
     * A caller that reads nothing fills the socket buffers, then its HTTP/2 stream window in the entry (256 KiB), then
     * the agent's limit, at which the agent cancels the call. A token event of about 100 bytes takes about 1 KiB as a
     * queued write, so the entry needs less than 8 windows per call.
     */
    void stalledReadersTakeBoundedMemory()
    {
        constexpr std::uint64_t calls = 4;
        constexpr std::uint64_t windowKiB = 256;
        Fixture fixture({"--max-calls", std::to_string(calls)});
        const auto bound = fixture.entry.memoryKiB("VmRSS") + calls * windowKiB * 8;
        std::deque<RawCaller> callers;
        for (std::uint64_t i = 0; i < calls; ++i) {
            callers.emplace_back(fixture.io, fixture.entry.port(), 4096);
            callers.back().send(longStream());
        }
        while (fixture.engine.running() < calls) {
            fixture.io.run_one();
        }
        while (fixture.engine.running() > 0) {
            for (int i = 0; i < 10'000 && fixture.engine.running() > 0; ++i) {
                fixture.io.run_one();
            }
            CPPUNIT_ASSERT(fixture.entry.memoryKiB("VmRSS") < bound);
        }
        CPPUNIT_ASSERT(fixture.entry.memoryKiB("VmHWM") < bound);
        expectStillServing(fixture, "with stalled readers");
    }

    void cancelsWhenCallerLeavesStream()
    {
        Fixture fixture({});
        RawCaller caller(fixture.io, fixture.entry.port());
        caller.send(longStream());
        CPPUNIT_ASSERT(caller.readUntil("data: "));
        setStalled(fixture, true); // Keeps the stream from finishing.
        caller.close();
        waitForAgentIdle(fixture);
        setStalled(fixture, false);
        while (fixture.engine.running() > 0) { // The engine notices the closed connection when it sends a token.
            fixture.io.run_one();
        }
    }

    /** Before the first token nothing is written to the caller, so only a pending read detects the disconnection. */
    void cancelsWhenCallerLeavesBeforeFirstToken()
    {
        Fixture fixture({});
        setStalled(fixture, true);
        RawCaller caller(fixture.io, fixture.entry.port());
        caller.send(longStream());
        while (fixture.engine.running() + fixture.engine.queued() == 0) {
            fixture.io.run_one();
        }
        caller.close();
        waitForAgentIdle(fixture);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);
