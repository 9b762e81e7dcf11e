#include "fuzz_property.h"
#include "suspect_simulation.h"

#include <rapidcheck/state.h>

#include <iostream>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

struct Event : rc::state::Command<int, SuspectSimulation>
{
    inline static std::size_t operations = 0; ///< Total over all cases.
    std::uint32_t op = *rc::gen::inRange<std::uint32_t>(0, 34);
    std::uint32_t a = *rc::gen::inRange<std::uint32_t>(0, 60);
    std::uint32_t b = *rc::gen::inRange<std::uint32_t>(0, 60);

    void run(const int & /*state*/, SuspectSimulation &simulation) const override
    {
        ++operations;
        if (op < 6) {
            simulation.start(SuspectSimulation::crashing, a, b);
        } else if (op < 14) {
            simulation.start(1 + b % 7, a, a + b);
        } else if (op < 18) {
            simulation.crash();
        } else if (op < 19) {
            simulation.crashServer(a);
        } else if (op < 22) {
            simulation.complete(a);
        } else if (op < 25) {
            simulation.gossip(a, b);
        } else if (op < 31) {
            simulation.deliver(a * 60 + b, a % 4 == 0, b % 4 == 0);
        } else {
            constexpr std::array<Age, 6> times{1s, 2s, 10s, 31s, 100s, 310s};
            simulation.advance(times[a % times.size()]);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "event " << op << ' ' << a << ' ' << b;
    }
};

struct Totals
{
    std::size_t crashesByRequest = 0;
    std::size_t completed = 0;
    std::size_t harmlessRefusals = 0;
};

std::string crashCounterexample(const std::string &name, SuspectPolicy policy, Totals &totals)
{
    return counterexample(name, fuzzParams(400, 3000), [=, &totals] {
        SuspectSimulation simulation(policy);
        rc::state::check(0, simulation, rc::state::gen::execOneOfWithArgs<Event>());
        totals.crashesByRequest += simulation.crashesByRequest.size();
        totals.completed += simulation.completed;
        totals.harmlessRefusals += simulation.harmlessRefusals;
        RC_ASSERT(simulation.violation == std::string());
    });
}

/** Returns the crashes within one hold time if no crash reports reach other entries and servers restart within 2 s. */
std::size_t crashesWithoutReports(std::size_t entries, IsolationPlace place, Age pause)
{
    SuspectSimulation simulation({false, place, entries, 2s});
    std::size_t n = 0;
    for (Age t{}; t < SuspectSimulation::hold; t += pause) {
        simulation.start(SuspectSimulation::crashing, n, n / entries);
        simulation.crash();
        simulation.advance(pause);
        ++n;
    }
    return simulation.crashesByRequest.size();
}

} // namespace

/** Guards the limit on the servers that one request can crash, and that harmless requests are not refused for long. */
class SuspectTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuspectTest);
    CPPUNIT_TEST(crashesAreBounded);
    CPPUNIT_TEST(lateReportsBreakTheBound);
    CPPUNIT_TEST(crashesWithoutReportsAreBoundedByTheEntries);
    CPPUNIT_TEST(harmlessRequestsAreClearedByRunningAlone);
    CPPUNIT_TEST(repeatedReportsCountOnce);
    CPPUNIT_TEST(clearedReportStaysCleared);
    CPPUNIT_TEST(delayedReportDoesNotProlongTheHold);
    CPPUNIT_TEST(tableIsBoundedAndKeepsRepeatedCrashes);
    CPPUNIT_TEST(isolatedRequestRunsAlone);
    CPPUNIT_TEST_SUITE_END();

    static CrashReport report(std::size_t n, std::uint64_t run, const std::string &domain, Age age)
    {
        return {fingerprintOf("w", "s", std::to_string(n)), "s1", run, domain, age, false};
    }

    static void expectAction(SuspectAction action, const SuspectTable &table, std::size_t n, Age now)
    {
        const auto decision = table.decide(report(n, 0, {}, {}).fingerprint, now);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(action), static_cast<int>(decision.action));
        CPPUNIT_ASSERT((action == SuspectAction::Refuse) == (decision.retryAfter > 0s));
    }

public:
    void crashesAreBounded()
    {
        for (const auto place : {IsolationPlace::AnyServer, IsolationPlace::LiveTarget, IsolationPlace::ListedTarget}) {
            Totals totals;
            Event::operations = 0;
            const auto text = crashCounterexample("losses", {true, place}, totals);
            CPPUNIT_ASSERT_MESSAGE(text, text.empty());
            std::cout << "\n3000 cases: " << totals.crashesByRequest << " servers lost, " << totals.completed
                      << " harmless requests completed, " << totals.harmlessRefusals
                      << " refused\nfigures: point=crashing operations=" << Event::operations
                      << " faults=" << totals.crashesByRequest << '\n';
            CPPUNIT_ASSERT(totals.crashesByRequest > 3000 && totals.completed > 3000 && totals.harmlessRefusals > 0);
        }
    }

    void lateReportsBreakTheBound()
    {
        Totals totals;
        const auto text = crashCounterexample("late reports", {false}, totals);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("lost") != std::string::npos);
        if (std::getenv("FUZZ_SHOW") != nullptr) {
            std::cout << '\n' << text;
        }
    }

    void crashesWithoutReportsAreBoundedByTheEntries()
    {
        std::cout << "\nServers lost if entries hear of no crash of others; resent every 3 s, every 1 s";
        for (const auto &[name, place] : {std::pair{"any server", IsolationPlace::AnyServer},
                                          std::pair{"live target", IsolationPlace::LiveTarget},
                                          std::pair{"listed target", IsolationPlace::ListedTarget}}) {
            for (const std::size_t entries : {1U, 3U, 9U}) {
                const auto slow = crashesWithoutReports(entries, place, 3s);
                const auto fast = crashesWithoutReports(entries, place, 1s);
                std::cout << '\n' << name << ", " << entries << " entries: " << slow << ", " << fast;
                CPPUNIT_ASSERT(slow <= 3 * entries && fast <= 3 * entries);
                CPPUNIT_ASSERT(place != IsolationPlace::ListedTarget || (slow <= entries + 2 && fast <= entries + 2));
            }
        }
        std::cout << '\n';
    }

    void harmlessRequestsAreClearedByRunningAlone()
    {
        SuspectSimulation simulation({});
        for (std::size_t n = 0; n < 8; ++n) {
            simulation.start(n, 0, 0);
        }
        simulation.crash();
        for (std::size_t n = 1; n < 8; ++n) {
            CPPUNIT_ASSERT(simulation.decisionOf(n, 0) == SuspectAction::RunAlone);
            simulation.start(n, 0, 0);
            for (std::size_t server = 0; server < 12; ++server) {
                simulation.complete(server);
            }
            CPPUNIT_ASSERT(simulation.decisionOf(n, 0) == SuspectAction::Run);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, simulation.completed);
    }

    void repeatedReportsCountOnce()
    {
        SuspectTable table({});
        for (int i = 0; i < 3; ++i) {
            table.merge(report(1, 1, "d", 1s), 10s);
        }
        expectAction(SuspectAction::RunAlone, table, 1, 10s);
        table.merge(report(1, 2, "e", 1s), 10s);
        expectAction(SuspectAction::RunAlone, table, 1, 10s);
        table.merge(report(1, 3, "f", 1s), 10s);
        expectAction(SuspectAction::Refuse, table, 1, 308s);
        expectAction(SuspectAction::Run, table, 1, 309s);
    }

    void clearedReportStaysCleared()
    {
        SuspectTable table({});
        SuspectTable other({});
        table.merge(report(1, 1, "d", 0s), 0s);
        other.merge(report(1, 1, "d", 0s), 0s);
        table.complete(report(1, 1, "d", 0s).fingerprint);
        table.merge(report(1, 1, "d", 0s), 5s);
        expectAction(SuspectAction::Run, table, 1, 5s);
        for (const auto &it : table.nextReports(16, 5s)) {
            other.merge(it, 6s);
        }
        expectAction(SuspectAction::Run, other, 1, 6s);
        table.merge(report(1, 2, "d", 0s), 7s);
        expectAction(SuspectAction::RunAlone, table, 1, 7s);
    }

    void delayedReportDoesNotProlongTheHold()
    {
        SuspectTable table({});
        table.merge(report(1, 1, "d", 0s), 0s);
        table.merge(report(1, 2, "d", 0s), 0s);
        table.merge(report(1, 1, "d", 0s), 200s);
        table.merge(report(1, 2, "d", 250s), 301s);
        expectAction(SuspectAction::Run, table, 1, 301s);
        table.expire(599s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
        table.expire(600s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    }

    void tableIsBoundedAndKeepsRepeatedCrashes()
    {
        SuspectSettings settings;
        settings.maxFingerprints = 10;
        settings.maxReportsPerFingerprint = 4;
        SuspectTable table(settings);
        for (std::uint64_t run = 0; run < 50; ++run) {
            table.merge(report(0, run, "d", 0s), 0s);
        }
        for (std::size_t n = 1; n < 100; ++n) {
            table.merge(report(n, 0, "d", 0s), Age(n));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, table.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{13}, table.nextReports(100, 1s).size());
        expectAction(SuspectAction::Refuse, table, 0, 1s);
        expectAction(SuspectAction::RunAlone, table, 99, 1s);
    }

    void isolatedRequestRunsAlone()
    {
        const auto a = report(1, 0, {}, {}).fingerprint;
        const auto b = report(2, 0, {}, {}).fingerprint;
        IsolationGate gate;
        CPPUNIT_ASSERT(gate.tryStart(a, false));
        CPPUNIT_ASSERT(!gate.tryStart(b, true));
        CPPUNIT_ASSERT(!gate.tryStart(a, false));
        gate.end(a);
        CPPUNIT_ASSERT(gate.tryStart(b, true));
        CPPUNIT_ASSERT(!gate.tryStart(b, true));
        CPPUNIT_ASSERT(!gate.tryStart(a, false));
        gate.end(b);
        CPPUNIT_ASSERT(!gate.tryStart(a, false));
        gate.cancelWait(b);
        CPPUNIT_ASSERT(gate.tryStart(a, false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTest);
