#include "fuzz_property.h"
#include "gateway_route.h"
#include "platform_dialect.h"
#include "platform_rank.h"
#include "rank_codec.h"
#include "rank_load.h"

#include <cmath>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against messages of the platform being parsed wrongly, and against exceptions from malformed ones. */
class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(parsesConfiguration);
    CPPUNIT_TEST(parsesServers);
    CPPUNIT_TEST(setsAndStripsHeaders);
    CPPUNIT_TEST(readsSharedPartsOfPrompts);
    CPPUNIT_TEST(parsesResponses);
    CPPUNIT_TEST(parsesRetryAfter);
    CPPUNIT_TEST(parsesLimit);
    CPPUNIT_TEST(readsRanksAndWritesOrders);
    CPPUNIT_TEST(routesByConfigurationAndKey);
    CPPUNIT_TEST(codecRoundTrips);
    CPPUNIT_TEST(largeChoicesAreRoundedToTheirUnit);
    CPPUNIT_TEST(ranksInOneStateAreSentOnce);
    CPPUNIT_TEST(answersToOrdersRoundTrip);
    CPPUNIT_TEST(malformedInputIsRejected);
    CPPUNIT_TEST_SUITE_END();

    GatewayDialect m_dialect = platformDialect();

    static constexpr std::string_view configText
        = R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/a/","kind":"stream","timeout_ms":8000,
"target_latency_ms":500,"priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":2,"allow_anonymous":false,"resume_streams":true,"target_gap_ms":120},
{"name":"r2","host":"h.example","prefix":"/b/","kind":"odd","service":"s2","allow_anonymous":true}],
"services":[{"name":"s1","max_conns":258,"engine":{"sets":4,"experts":72,"placements":8,"spare":3}},{"name":"s2"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],"unknown":{"x":1}})";

    static constexpr std::string_view serverText
        = R"({"service":"s1","address":"10.0.0.9:80","zone":"z","slots":12,"state":"ready","born":17,
"group":{"name":"g","epoch":3,"rank":5,"state":"open"},"size":12})";

    static constexpr std::string_view stateText
        = R"({"group":{"name":"g","epoch":3,"rank":5,"state":"open"},"size":12,"step":43,"map":4,
"prepared":5,"armed":{"version":5,"step":50},"held":null})";

    static RankOrder prepareOrder()
    {
        RankOrder order;
        order.kind = RankOrderKind::Prepare;
        order.epoch = 3;
        order.version = 5;
        order.map = {{{0}, {1, 2}}};
        order.base = 4;
        order.changes = {{0, 1, {2}}};
        order.digest = 99;
        return order;
    }

    static HttpHead request(HttpHeaders headers)
    {
        HttpHead head;
        head.method = "POST";
        head.target = "/a/x?q=1";
        head.headers = std::move(headers);
        return head;
    }

    static bool has(const HttpHeaders &headers, const std::string &name, const std::string &value)
    {
        return std::count(headers.begin(), headers.end(), std::make_pair(name, value)) == 1
               && std::count_if(headers.begin(), headers.end(), [&name](const auto &it) {
                      return equalsIgnoringCase(it.first, name);
                  }) == 1;
    }

    static bool lacks(const HttpHeaders &headers, const std::string &name)
    {
        return std::none_of(headers.begin(), headers.end(), [&name](const auto &it) {
            return equalsIgnoringCase(it.first, name);
        });
    }

public:
    void parsesConfiguration()
    {
        const auto config = m_dialect.readConfig(configText);
        CPPUNIT_ASSERT_EQUAL(std::string(), config.reason);
        const auto &rule = config.value->rules.front();
        CPPUNIT_ASSERT(rule.kind == RouteKind::Stream && rule.isIdempotent() && rule.timeout == 8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, rule.targets.size());
        // Requests of an unknown kind must not be retried.
        CPPUNIT_ASSERT(config.value->rules.back().kind == RouteKind::Unsafe);
        CPPUNIT_ASSERT(config.value->rules.back().allowsAnonymous);
        CPPUNIT_ASSERT_EQUAL(72U, config.value->services.front().experts->experts);
        CPPUNIT_ASSERT(!config.value->services.back().experts);
        CPPUNIT_ASSERT(config.value->workspaces.front().priority == 1U);
        CPPUNIT_ASSERT(config.value->limits.headerTimeout == 3s);
    }

    void parsesServers()
    {
        const auto server = m_dialect.readServer("servers/i-1", serverText);
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), server.value->id);
        CPPUNIT_ASSERT_EQUAL(5U, server.value->rank);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{17}, server.value->startTimeMs);
        CPPUNIT_ASSERT(!server.value->isLeaving && !server.value->isGroupBroken);
        // A key from elsewhere in an answer of the store ended the process.
        for (const char *it : {"", "x", "server/i-1"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !m_dialect.readServer(it, serverText));
        }
    }

    /** The last part is the request's own, so it must not connect it with others. */
    void readsSharedPartsOfPrompts()
    {
        using Parts = std::vector<std::uint64_t>;
        const auto parts = [this](const std::string &text) {
            return m_dialect.readCallerFields(request({{"prompt-prefix", text}})).sharedParts;
        };
        CPPUNIT_ASSERT(parts("5c1e07a2:800,91BD3f06:410,e4402b7d:250") == (Parts{0x5c1e07a2, 0x91bd3f06}));
        CPPUNIT_ASSERT(parts("1:1, ffffffffffffffff:2, 3") == (Parts{1, ~std::uint64_t{0}}));
        for (const char *text : {"", "1:1", ",", "1:1,,2:2", "x:1,2:2", "1:1,0x2:2,3:3", "11111111111111111:1,2:2"}) {
            CPPUNIT_ASSERT(parts(text).empty());
        }
        std::string many;
        for (int n = 0; n < 10'000; ++n) {
            many += "1:1,";
        }
        CPPUNIT_ASSERT(parts(many + "2:2").empty());
    }

    void setsAndStripsHeaders()
    {
        const auto head = request({{"Host", "h.example"},
                                   {"Attempt-Id", "r1"},
                                   {"api-key", "secret"},
                                   {"Tenant", "forged"},
                                   {"Deadline-Ms", "9000"},
                                   {"Expect-Replica", "forged"},
                                   {"Last-Event-Id", "2"},
                                   {"Connection", "keep-alive"},
                                   {"Transfer-Encoding", "chunked"},
                                   {"Model", "m"}});
        const auto caller = m_dialect.readCallerFields(head);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), caller.key);
        CPPUNIT_ASSERT(caller.deadline == 9s && caller.lastEventId == 2U);
        const auto headers = m_dialect.forwardHeaders(head, {"i-1", "t1", 1'234ms, 3, 7});
        CPPUNIT_ASSERT(has(headers, "Tenant", "t1") && has(headers, "Expect-Replica", "i-1"));
        CPPUNIT_ASSERT(has(headers, "Deadline-Ms", "1234") && has(headers, "Last-Event-Id", "7"));
        CPPUNIT_ASSERT(has(headers, "Attempt-Id", "r1") && has(headers, "Model", "m"));
        CPPUNIT_ASSERT(has(headers, "Request-Priority", "3"));
        CPPUNIT_ASSERT(lacks(headers, "Api-Key") && lacks(headers, "Connection")
                       && lacks(headers, "Transfer-Encoding"));
        CPPUNIT_ASSERT(lacks(m_dialect.forwardHeaders(head, {"i-1", "", 1ms, 0, std::nullopt}), "Tenant"));
    }

    void parsesResponses()
    {
        HttpHead head;
        head.status = 503;
        head.headers = {
            {"Not-Executed", "1"}, {"Replica-Load", "3,2,8"}, {"At-Server", "i-2"}, {"Keep-Alive", "timeout=5, max=9"}};
        const auto fields = m_dialect.readResponseFields(head);
        CPPUNIT_ASSERT(fields.isNotRun && fields.isGroupFault && !fields.isSigned && !fields.isMisdirected);
        CPPUNIT_ASSERT_EQUAL(3U, fields.load->running);
        CPPUNIT_ASSERT_EQUAL(2U, fields.load->waiting);
        CPPUNIT_ASSERT(fields.keepAlive == 5s);
        head.status = 421;
        head.headers = {{"Replica-Load", "x"}, {"Keep-Alive", "timeout="}, {"Replica-Signature", "s"}};
        const auto other = m_dialect.readResponseFields(head);
        CPPUNIT_ASSERT(other.isNotRun && other.isMisdirected && other.isSigned && !other.load && !other.keepAlive);
        // The answer of another server at the address tells nothing about the expected one.
        head.headers = {{"Server-Leaving", "1"}, {"Retry-After", "3"}};
        CPPUNIT_ASSERT(!m_dialect.readResponseFields(head).isLeaving);
        CPPUNIT_ASSERT(!m_dialect.readResponseFields(head).retryAfter);
        head.status = 200;
        CPPUNIT_ASSERT(m_dialect.readResponseFields(head).isLeaving);
        CPPUNIT_ASSERT(!m_dialect.readResponseFields(head).retryAfter);
        for (const char *it : {"0", "", "true", "11", "1 1"}) {
            head.headers = {{"Server-Leaving", it}};
            CPPUNIT_ASSERT_MESSAGE(it, !m_dialect.readResponseFields(head).isLeaving);
        }
    }

    /** A value that is not a time must not withdraw a server, and a huge one must not overflow. */
    void parsesRetryAfter()
    {
        HttpHead head;
        head.status = 503;
        const auto read = [&](const char *text) {
            head.headers = {{"Retry-After", text}};
            return m_dialect.readResponseFields(head).retryAfter;
        };
        CPPUNIT_ASSERT(read("2") == 2s);
        CPPUNIT_ASSERT(read("0.25") == 250ms);
        CPPUNIT_ASSERT(read("1e300") == 24h);
        for (const char *it : {"", "-1", "0", "nan", "x", "Fri, 04 Dec 2026 12:00:00 GMT", "1s"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !read(it));
        }
    }

    /** A value that is no number of requests is reported as invalid, so that it does not replace an earlier limit. */
    void parsesLimit()
    {
        HttpHead head;
        head.status = 200;
        const auto read = [&](const std::string &text) {
            head.headers = {{"Server-Limit", text}};
            return m_dialect.readResponseFields(head);
        };
        CPPUNIT_ASSERT(read("1").requestLimit == 1.0 && !read("1").hasInvalidLimit);
        CPPUNIT_ASSERT(read("0.5").requestLimit == 0.5);
        CPPUNIT_ASSERT(read("0").requestLimit == 0.0);
        CPPUNIT_ASSERT(read("200.25").requestLimit == 200.25);
        const std::string manyDigits(1U << 20U, '9');
        for (const char *it :
             {"", "-1", "-0", "nan", "inf", "-inf", "1e3", "x", "1s", "1,2", " 1", "+1", "0x10", manyDigits.c_str()}) {
            const auto fields = read(it);
            CPPUNIT_ASSERT_MESSAGE(it, !fields.requestLimit && fields.hasInvalidLimit);
        }
        head.headers = {{"Server-Limit", "1"}, {"server-limit", "1"}};
        CPPUNIT_ASSERT(m_dialect.readResponseFields(head).hasInvalidLimit);
        head.headers = {};
        CPPUNIT_ASSERT(!m_dialect.readResponseFields(head).requestLimit);
        CPPUNIT_ASSERT(!m_dialect.readResponseFields(head).hasInvalidLimit);
        // The answer of another server at the address tells nothing about the expected one.
        head.status = 421;
        CPPUNIT_ASSERT(!read("1").requestLimit && !read("x").hasInvalidLimit);
    }

    void readsRanksAndWritesOrders()
    {
        const auto ranks = platformRankDialect();
        const auto state = ranks.readState(stateText);
        CPPUNIT_ASSERT(state.value->armed == 5U && state.value->prepared == 5U && !state.value->held);
        CPPUNIT_ASSERT_EQUAL(PassNumber{43}, state.value->pass);
        RankOrder order;
        order.kind = RankOrderKind::Arm;
        order.epoch = 3;
        order.version = 5;
        order.pass = 50;
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"epoch":3,"op":"arm","step":50,"version":5})"), ranks.orderBody(order));
        order.kind = RankOrderKind::Prepare;
        order.map = {{{0, 2}, {1}}};
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"epoch":3,"map":[[[0,2],[1]]],"op":"prepare","version":5})"),
                             ranks.orderBody(order));
        CPPUNIT_ASSERT(ranks.readHeld(R"({"map":{"version":1,"experts":[[0,1],[2]]}})").value->size() == 2);
    }

    void routesByConfigurationAndKey()
    {
        const auto table = std::make_shared<const RoutingTable>(*m_dialect.readConfig(configText).value);
        std::mt19937_64 random(1);
        const auto route = [&](const std::string &path, const std::string &key, ConfigFreshness freshness) {
            auto head = request({{"Host", "h.example:8080"}});
            head.target = path;
            CallerFields caller;
            caller.key = key;
            const auto routed = routeRequest(TimePoint{}, table, freshness, {}, caller, head, "", random);
            const auto *reply = std::get_if<Reply>(&routed);
            return reply == nullptr ? 0 : reply->status;
        };
        CPPUNIT_ASSERT_EQUAL(0, route("/a/x?/c/", "k2", ConfigFreshness::Recent));
        CPPUNIT_ASSERT_EQUAL(401, route("/a/x", "k3", ConfigFreshness::Recent));
        CPPUNIT_ASSERT_EQUAL(404, route("/c/", "k1", ConfigFreshness::Recent));
        // With a stale configuration, unknown routes and keys must get 503 rather than 404 or 401.
        CPPUNIT_ASSERT_EQUAL(503, route("/a/x", "k1", ConfigFreshness::Stale));
        CPPUNIT_ASSERT_EQUAL(503, route("/a/x", "k3", ConfigFreshness::Stale));
        CPPUNIT_ASSERT_EQUAL(503, route("/c/", "k1", ConfigFreshness::Stale));
        CPPUNIT_ASSERT_EQUAL(0, route("/b/", "", ConfigFreshness::Stale));
        CPPUNIT_ASSERT_EQUAL(503, route("/b/", "", ConfigFreshness::Missing));
    }

    void codecRoundTrips()
    {
        GroupReport report;
        report.ranks.push_back({*platformRankDialect().readState(stateText).value, {{0, 1}, {2}}});
        report.choices = {1, 2, 255};
        const auto back = decodeGroupReport(encodeGroupReport(report));
        CPPUNIT_ASSERT_EQUAL(std::string(), back.reason);
        const auto &rank = back.value->ranks.at(0);
        CPPUNIT_ASSERT(back.value->choices == report.choices && rank.held == report.ranks[0].held);
        CPPUNIT_ASSERT(rank.state.armed == 5U && !rank.state.held);
        const auto order = *decodeRankOrder(encodeRankOrder(prepareOrder())).value;
        CPPUNIT_ASSERT(order.map == prepareOrder().map && order.changes == prepareOrder().changes);
        CPPUNIT_ASSERT(order.base == 4 && order.digest == 99);
        const RankQuery query{8, 7, true, false, {}};
        const auto decoded = decodeRankQuery(encodeRankQuery(query));
        CPPUNIT_ASSERT(decoded && decoded.value->first == 8 && decoded.value->count == 7);
        CPPUNIT_ASSERT(decoded.value->withChoices && !decoded.value->withHeld);
        CPPUNIT_ASSERT(!decodeRankQuery("first=1&count=0") && !decodeRankQuery("first=x"));
    }

    /** Counts of many ranks do not fit into a byte. The error stays within half a unit: 1/255 of the largest count. */
    void largeChoicesAreRoundedToTheirUnit()
    {
        GroupReport report;
        report.choices = {0, 1, 400, 1'000, 299'999, 300'000};
        const auto back = decodeGroupReport(encodeGroupReport(report));
        CPPUNIT_ASSERT_EQUAL(report.choices.size(), back.value->choices.size());
        const double halfUnit = std::ceil(300'000.0 / 255) / 2;
        for (std::size_t n = 0; n < report.choices.size(); ++n) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL(
                static_cast<double>(report.choices[n]), static_cast<double>(back.value->choices[n]), halfUnit);
        }
    }

    /** A report of 12 ranks in the same state must not repeat it, or the link of the coordinator is overloaded. */
    void ranksInOneStateAreSentOnce()
    {
        GroupReport report;
        for (std::uint32_t n = 0; n < 12; ++n) {
            report.ranks.push_back({*platformRankDialect().readState(stateText).value, {}});
            report.ranks.back().state.rank = n;
            report.ranks.back().state.running = n % 6;
        }
        report.ranks[7].state.armed.reset();
        const auto bytes = encodeGroupReport(report);
        const auto back = decodeGroupReport(bytes);
        CPPUNIT_ASSERT_EQUAL(std::string(), back.reason);
        for (std::uint32_t n = 0; n < 12; ++n) {
            const auto &state = back.value->ranks[n].state;
            CPPUNIT_ASSERT(state.rank == n && state.running == n % 6 && state.map == 4 && state.epoch == 3);
            CPPUNIT_ASSERT_EQUAL(n != 7, state.armed.has_value());
        }
        GroupReport one;
        one.ranks.push_back(report.ranks.front());
        constexpr std::size_t bytesPerRank = 8;
        constexpr std::size_t bytesOfDifferentRank = 32;
        CPPUNIT_ASSERT(bytes.size() < encodeGroupReport(one).size() + 11 * bytesPerRank + bytesOfDifferentRank);
    }

    void answersToOrdersRoundTrip()
    {
        const OrderAnswers answers{OrderAnswer::Accepted, std::nullopt, OrderAnswer::Refused, OrderAnswer::BaseUnknown};
        CPPUNIT_ASSERT(decodeOrderAnswers(encodeOrderAnswers(answers)).value == answers);
        CPPUNIT_ASSERT(!decodeOrderAnswers("nonsense"));
        const std::vector<std::uint32_t> ranks{12, 13, 128};
        CPPUNIT_ASSERT(decodeOrderRanks(encodeOrderRanks(ranks)).value == ranks);
        for (const char *it : {"", "ranks=", "ranks=1,", "ranks=,1", "ranks=1;2", "ranks=-1", "ranks=99999999999"}) {
            CPPUNIT_ASSERT_MESSAGE(it, !decodeOrderRanks(it));
        }
        CPPUNIT_ASSERT(!decodeOrderRanks(encodeOrderRanks(std::vector<std::uint32_t>(maxRanksPerQuery + 1, 1))));
    }

    /** Truncated or corrupted input gives a value or a reason, never an exception. */
    void malformedInputIsRejected()
    {
        const auto failure = counterexample("malformed input is rejected", fuzzParams(100, 2'000), [this] {
            const auto ranks = platformRankDialect();
            const std::string packed = encodeRankOrder(prepareOrder());
            const std::string page = R"({"items":[{"key":"servers/a","value":"e30="}],"current_rev":1})";
            std::string text(*rc::gen::element(
                std::string(configText), std::string(serverText), std::string(stateText), page, packed));
            const auto changes = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 24));
            for (const auto it : changes) {
                text[static_cast<std::size_t>(it >> 8) % text.size()] = static_cast<char>(it & 255);
            }
            text.resize(text.size() - *rc::gen::inRange<std::size_t>(0, text.size()));
            const auto config = m_dialect.readConfig(text);
            RC_ASSERT(config.value.has_value() || !config.reason.empty());
            const auto server = m_dialect.readServer("servers/x", text);
            RC_ASSERT(server.value.has_value() || !server.reason.empty());
            const auto state = ranks.readState(text);
            RC_ASSERT(state.value.has_value() || !state.reason.empty());
            const auto read = m_dialect.readPage(text);
            RC_ASSERT(read.value.has_value() || !read.reason.empty());
            const auto order = decodeRankOrder(text);
            RC_ASSERT(order.value.has_value() || !order.reason.empty());
            const auto loads = decodeGroupLoads(text);
            RC_ASSERT(loads.value.has_value() || !loads.reason.empty());
            const auto answers = decodeOrderAnswers(text);
            RC_ASSERT(answers.value.has_value() || !answers.reason.empty());
            const auto list = decodeOrderRanks(text);
            RC_ASSERT(list.value.has_value() || !list.reason.empty());
            const auto query = decodeRankQuery(text);
            RC_ASSERT(query.value.has_value() || !query.reason.empty());
            const auto report = decodeGroupReport(text);
            RC_ASSERT(report.value.has_value() || !report.reason.empty());
        });
        CPPUNIT_ASSERT_EQUAL(std::string(), failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
