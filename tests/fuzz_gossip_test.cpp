#include "fuzz_property.h"
#include "gossip_simulation.h"

#include <rapidcheck/state.h>

#include <iostream>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

struct GossipEvent : rc::state::Command<int, GossipSimulation>
{
    std::uint32_t op = *rc::gen::inRange<std::uint32_t>(0, 24);
    std::uint32_t a = *rc::gen::inRange<std::uint32_t>(0, 60);

    void run(const int & /*state*/, GossipSimulation &simulation) const override
    {
        constexpr std::array<std::chrono::milliseconds, 5> times{50ms, 200ms, 1s, 3s, 6s};
        // rapidcheck's ranges grow with the size of a case, so the events that matter most come first.
        if (op < 10) {
            simulation.sendCrashing(a);
        } else if (op < 17) {
            simulation.advance(times[a % times.size()]);
        } else if (op < 19) {
            simulation.crashServer(a);
        } else if (op < 21) {
            simulation.restart(a);
        } else if (op < 22) {
            simulation.cut(a);
        } else {
            simulation.heal();
        }
    }

    void show(std::ostream &os) const override
    {
        os << "event " << op << ' ' << a;
    }
};

struct GossipTotals
{
    std::size_t crashes = 0;
    std::size_t lateAttempts = 0;
    std::size_t refusals = 0;
};

std::string lateAttemptCounterexample(bool areReportsShared, GossipTotals &totals)
{
    return counterexample("late attempts", fuzzParams(200, 300), [=, &totals](std::uint64_t seed) {
        GossipSimulation simulation(seed, areReportsShared);
        rc::state::check(0, simulation, rc::state::gen::execOneOfWithArgs<GossipEvent>());
        totals.crashes += simulation.crashes;
        totals.lateAttempts += simulation.lateAttempts;
        totals.refusals += simulation.refusals;
        RC_ASSERT(simulation.lateAttempts <= GossipSimulation::maxLateAttempts);
    });
}

} // namespace

/** Guards the limit on attempts of a request after it has crashed three servers, over all gateways together. */
class GossipFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GossipFuzzTest);
    CPPUNIT_TEST(lateAttemptsAreBounded);
    CPPUNIT_TEST(withoutExchangeTheBoundIsBroken);
    CPPUNIT_TEST(decodesAnyBytes);
    CPPUNIT_TEST(invalidReportDoesNotHideOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void lateAttemptsAreBounded()
    {
        GossipTotals totals;
        const auto text = lateAttemptCounterexample(true, totals);
        CPPUNIT_ASSERT_MESSAGE(text, text.empty());
        std::cout << "\n300 cases: " << totals.crashes << " crashes, " << totals.lateAttempts << " late attempts, "
                  << totals.refusals << " refusals\n";
        CPPUNIT_ASSERT(totals.crashes > 300 && totals.refusals > 300);
    }

    void withoutExchangeTheBoundIsBroken()
    {
        GossipTotals totals;
        const auto text = lateAttemptCounterexample(false, totals);
        std::cout << "\nwithout exchange: " << totals.crashes << " crashes, " << totals.lateAttempts
                  << " late attempts, " << totals.refusals << " refusals\n";
        CPPUNIT_ASSERT(!text.empty());
    }

    void decodesAnyBytes()
    {
        expectProperty("gossip message", fuzzParams(100, 2'000), [](const std::string &text, std::uint32_t at) {
            GossipMessage message;
            message.sender = "10.0.0.1:7000";
            message.peers = {{"10.0.0.2:7000", 20ms}};
            message.reports = {{fingerprintOf("w", "t", "b"), "i-1", 7, "d1", 20ms, false}};
            auto bytes = encodeGossip(message);
            bytes.replace(at % bytes.size(), text.size(), text);
            const auto decoded = decodeGossip(bytes);
            RC_ASSERT(decoded || !decoded.reason.empty());
            RC_ASSERT(!decodeGossip(text));
        });
    }

    void invalidReportDoesNotHideOthers()
    {
        GossipMessage message;
        message.sender = "10.0.0.1:7000";
        const auto fingerprint = fingerprintOf("w", "t", "b");
        message.reports = {{fingerprint, "", 7, "d1", 20ms, false}, {fingerprint, "i-1", 7, "d1", 20ms, false}};
        const auto decoded = decodeGossip(encodeGossip(message));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.value->reports.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), decoded.value->reports.front().server);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipFuzzTest);
