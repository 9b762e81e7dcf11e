#include "fuzz_property.h"
#include "restore_simulation.h"

#include <rapidcheck/state.h>

#include <iostream>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

struct RestoreEvent : rc::state::Command<int, RestoreSimulation>
{
    std::uint32_t op = *rc::gen::inRange<std::uint32_t>(0, 24);
    std::uint32_t a = *rc::gen::inRange<std::uint32_t>(0, 48);

    void run(const int & /*state*/, RestoreSimulation &simulation) const override
    {
        constexpr std::array<std::chrono::milliseconds, 5> times{100ms, 300ms, 1s, 3s, 7s};
        constexpr std::array<std::chrono::milliseconds, 4> outages{50ms, 400ms, 1s, 4s};
        // rapidcheck's ranges grow with the size of a case, so the events that matter most come first.
        if (op < 8) {
            simulation.advance(times[a % times.size()]);
        } else if (op < 11) {
            simulation.leave(a);
        } else if (op < 14) {
            if (a % 5 == 0) { // A change that is acknowledged just before the store is away.
                simulation.changeConfig();
                simulation.advance(RestoreSimulation::step);
            }
            simulation.restore(outages[a % outages.size()], a % 8 < 4, a % 3 == 0);
        } else if (op < 16) {
            simulation.changeConfig();
        } else if (op < 18) {
            simulation.endServer(a);
        } else if (op < 20) {
            simulation.startServer(a);
        } else if (op < 22) {
            simulation.saveCopy();
        } else if (op < 23) {
            simulation.restartGateway();
        } else if (a % 2 == 0) {
            simulation.answerFromEarlierEra();
        } else {
            simulation.dropHistory();
        }
    }

    void show(std::ostream &os) const override
    {
        os << "event " << op << ' ' << a;
    }
};

struct RestoreTotals
{
    std::size_t restores = 0;
    std::size_t keptFacts = 0;
};

std::string brokenRule(RestoreSafeguard missing, int cases, RestoreTotals &totals)
{
    return counterexample("rules over a restore", fuzzParams(100, cases), [=, &totals](std::uint64_t seed) {
        RestoreSimulation simulation(seed, missing);
        rc::state::check(0, simulation, rc::state::gen::execOneOfWithArgs<RestoreEvent>());
        simulation.advance(10s);
        totals.restores += simulation.restores;
        totals.keptFacts += simulation.keptFacts;
        if (!simulation.violation().empty()) {
            RC_FAIL(simulation.violation());
        }
    });
}

} // namespace

/**
 * Guards against servers that are used after they have left, against live ones that are not used, and against removed keys
 * that are accepted, when the store comes back from a copy. FUZZ_SEED and FUZZ_STEPS vary the cases.
 */
class RestoredStoreFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoredStoreFuzzTest);
    CPPUNIT_TEST(rulesHoldOverRestores);
    CPPUNIT_TEST(withoutErasARuleIsBroken);
    CPPUNIT_TEST(withoutKnownFactsARuleIsBroken);
    CPPUNIT_TEST(withoutSharedErasARuleIsBroken);
    CPPUNIT_TEST(withoutSettleTimeARuleIsBroken);
    CPPUNIT_TEST_SUITE_END();

    static void expectBroken(RestoreSafeguard missing)
    {
        RestoreTotals totals;
        constexpr int cases = 5'000; // It ends with the first counterexample.
        const auto text = brokenRule(missing, cases, totals);
        CPPUNIT_ASSERT(!text.empty());
        std::cout << '\n' << text;
    }

public:
    void rulesHoldOverRestores()
    {
        RestoreTotals totals;
        const auto text = brokenRule(RestoreSafeguard::None, 1'000, totals);
        CPPUNIT_ASSERT_MESSAGE(text, text.empty());
        std::cout << "\n1,000 cases: " << totals.restores << " restores, " << totals.keptFacts << " facts kept\n";
        CPPUNIT_ASSERT(totals.restores > 1'000 && totals.keptFacts > 100);
    }

    void withoutErasARuleIsBroken()
    {
        expectBroken(RestoreSafeguard::Eras);
    }

    void withoutKnownFactsARuleIsBroken()
    {
        expectBroken(RestoreSafeguard::KnownFacts);
    }

    void withoutSharedErasARuleIsBroken()
    {
        expectBroken(RestoreSafeguard::SharedEras);
    }

    void withoutSettleTimeARuleIsBroken()
    {
        expectBroken(RestoreSafeguard::SettleTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStoreFuzzTest);
