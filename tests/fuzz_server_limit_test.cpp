#include "fuzz_property.h"
#include "server_limit_property.h"

#include <rapidcheck/state.h>

#include <iostream>

using namespace turmericline;
using namespace turmericline::server_limit_property;
using namespace std::chrono_literals;

namespace {

/** What happens to the gateways of a random case. */
struct LimitEvent : rc::state::Command<int, ServerLimitSimulation>
{
    std::uint32_t op = *rc::gen::inRange<std::uint32_t>(0, 20);
    std::uint32_t a = *rc::gen::inRange<std::uint32_t>(0, 60);

    void run(const int & /*state*/, ServerLimitSimulation &simulation) const override
    {
        constexpr std::array<std::chrono::milliseconds, 5> times{200ms, 700ms, 2s, 4s, 7s};
        const auto gateway = a % 9;
        if (op < 8) {
            simulation.advance(times[a % times.size()]);
        } else if (op < 11) {
            simulation.freeze(gateway, times[(a / 9) % times.size()]);
        } else if (op < 13) {
            simulation.restart(gateway);
            simulation.advance(1s);
        } else if (op < 15) {
            simulation.cut(1 + a % 3, a % 2 == 0);
        } else if (op < 17) {
            simulation.heal();
        } else if (op < 18) {
            simulation.handOver(gateway);
        } else if (const auto owner = simulation.owner()) {
            simulation.freeze(*owner, times[a % times.size()]);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "event " << op << ' ' << a;
    }
};

struct LimitTotals
{
    std::size_t arrivals = 0;
    std::size_t worst = 0;
};

std::string overshootCounterexample(const LimitSafeguards &safeguards, double limit, int cases, LimitTotals &totals)
{
    return counterexample("requests above the limit", fuzzParams(60, cases), [&](std::uint64_t seed) {
        LimitScenario scenario;
        scenario.limit = limit;
        scenario.demand = 10 * limit;
        scenario.lossShare = 0.02;
        scenario.duplicateShare = 0.02;
        scenario.maxExtraDelay = 40ms;
        ServerLimitSimulation simulation(seed, scenario, safeguards);
        simulation.stateLimit(limit);
        simulation.advance(2s);
        rc::state::check(0, simulation, rc::state::gen::execOneOfWithArgs<LimitEvent>());
        simulation.advance(5s);
        const auto most = simulation.mostArrivals(*simulation.firstStatedAt() + reactionTime, window);
        totals.arrivals += simulation.arrivalsBetween({}, simulation.now());
        totals.worst = std::max(totals.worst, most);
        RC_ASSERT(most <= allowedArrivals(limit));
    });
}

using LimitEvents = std::function<void(ServerLimitSimulation &simulation)>;

/** Most requests within the window during @p events, of which ten times as many as the limit are sent. */
std::size_t
mostArrivalsDuring(const LimitEvents &events, LimitScenario scenario, const LimitSafeguards &safeguards = {})
{
    scenario.demand = 10 * scenario.limit;
    ServerLimitSimulation simulation(fuzzParams(0, 0).seed, scenario, safeguards);
    simulation.stateLimit(scenario.limit);
    simulation.advance(3s);
    events(simulation);
    return simulation.mostArrivals(*simulation.firstStatedAt() + reactionTime, window);
}

/** It takes some seconds until a gateway learns that it has been replaced. */
const LimitScenario lossyScenario{9, 50, 500, 0.7};

/** The owner stands still until another gateway has taken its place, several times. */
void freezeOwners(ServerLimitSimulation &simulation)
{
    for (int n = 0; n < 5; ++n) {
        simulation.freeze(simulation.owner().value_or(0), 8s);
        simulation.advance(12s);
    }
}

} // namespace

/** Guards the limit that a server states on the requests of all gateways under faults, and what each safeguard is for. */
class ServerLimitFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitFuzzTest);
    CPPUNIT_TEST(limitIsKeptUnderFaults);
    CPPUNIT_TEST(limitIsBrokenWithoutSharing);
    CPPUNIT_TEST(limitIsBrokenWithoutDivision);
    CPPUNIT_TEST(limitIsBrokenWithoutSettling);
    CPPUNIT_TEST(limitIsBrokenByOldPermits);
    CPPUNIT_TEST(limitIsBrokenByMinorities);
    CPPUNIT_TEST(decodesAnyBytes);
    CPPUNIT_TEST_SUITE_END();

    /** The limit is kept with all safeguards, and broken without one of them. */
    static void expectNeeded(bool LimitSafeguards::*safeguard, const LimitScenario &scenario, const LimitEvents &events)
    {
        CPPUNIT_ASSERT(mostArrivalsDuring(events, scenario) <= allowedArrivals(scenario.limit));
        LimitSafeguards safeguards;
        safeguards.*safeguard = false;
        CPPUNIT_ASSERT(mostArrivalsDuring(events, scenario, safeguards) > allowedArrivals(scenario.limit));
    }

    static void expectKeptUnderFaults(double limit, int cases)
    {
        LimitTotals totals;
        const auto text = overshootCounterexample({}, limit, cases, totals);
        std::cout << '\n'
                  << cases << " cases, limit " << limit << ": " << totals.arrivals << " arrivals, worst 4 s "
                  << totals.worst << ", " << allowedArrivals(limit) << " allowed";
        CPPUNIT_ASSERT_MESSAGE(text, text.empty());
        CPPUNIT_ASSERT(totals.arrivals > 1'000);
    }

public:
    void limitIsKeptUnderFaults()
    {
        expectKeptUnderFaults(2, 100);
        expectKeptUnderFaults(50, 20);
    }

    void limitIsBrokenWithoutSharing()
    {
        expectNeeded(&LimitSafeguards::sharesLimits, {9, 50}, [](ServerLimitSimulation &it) {
            it.advance(5s);
        });
    }

    /** All gateways lose each other, but not the server. */
    void limitIsBrokenWithoutDivision()
    {
        expectNeeded(&LimitSafeguards::dividesAloneShare, {9, 50}, [](ServerLimitSimulation &it) {
            it.cut(9, true);
            it.advance(10s);
        });
    }

    void limitIsBrokenWithoutSettling()
    {
        expectNeeded(&LimitSafeguards::ownersSettle, lossyScenario, freezeOwners);
    }

    /** Callers leave while they wait for permits, and those that come later would find one at each gateway. */
    void limitIsBrokenByOldPermits()
    {
        expectNeeded(&LimitSafeguards::permitsEnd, {149, 2}, [](ServerLimitSimulation &it) {
            it.setLeaving(1);
            it.advance(20s);
            it.setLeaving(0);
            it.requestEverywhere();
            it.advance(2s);
        });
    }

    /** Some gateways are cut off from the others, so that both parts have an owner. */
    void limitIsBrokenByMinorities()
    {
        expectNeeded(&LimitSafeguards::needsMajority, {9, 50}, [](ServerLimitSimulation &it) {
            for (std::size_t n = 1; n <= 4; ++n) {
                it.cut(n);
                it.advance(15s);
                it.heal();
                it.advance(10s);
            }
        });
    }

    void decodesAnyBytes()
    {
        expectProperty("decodes any bytes", fuzzParams(100, 2'000), [] {
            LimitReport report;
            report.statement = {*rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))),
                                *rc::gen::arbitrary<std::int64_t>(),
                                *rc::gen::element<std::optional<double>>(std::nullopt, 0.0, 0.5, 200.0)};
            report.statement.server.resize(std::min<std::size_t>(report.statement.server.size(), 64));
            report.age = std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
            report.owner = "10.0.0.1:7000";
            report.term = *rc::gen::arbitrary<std::uint64_t>();
            auto bytes = encodePermitReply({true, 5ms, report});
            const auto decoded = decodePermitReply(bytes);
            RC_ASSERT(decoded && decoded.value->isGranted && decoded.value->report == report);
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            decodePermitReply(bytes);
            decodePermitRequest(bytes);
        });
        for (const auto &limit :
             {nlohmann::json(-1.0), nlohmann::json(std::nan("")), nlohmann::json(INFINITY), nlohmann::json("1")}) {
            auto value = encodeLimitReport({{"i-1", 1, 1.0}, 0ms, 0ms, "", 0});
            value[2] = limit;
            CPPUNIT_ASSERT(!decodeLimitReport(value));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitFuzzTest);
