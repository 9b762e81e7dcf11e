#pragma once

#include "fuzz_property.h"
#include "keyed_simulation.h"
#include "verdict.h"

#include <rapidcheck/state.h>

#include <array>
#include <iostream>
#include <set>

namespace turmericline {

/** Random operations on a KeyedSimulation. */
enum class KeyedOp {
    Ticket,
    ResendTicket,
    StealTicket,
    Plain,
    Refuse,
    Deliver,
    DeliverOldest,
    Duplicate,
    Drop,
    TimeOut,
    Advance,
    Restart,
    SecondAgent,
    Freeze,
    RefuseWork,
    MoveSlot,
    EntryLearns,
    AgentLearns,
    Hello,
};

inline constexpr std::array<NamedValue<KeyedOp>, 19> keyedOpNames{{
    {KeyedOp::Ticket, "ticket"},
    {KeyedOp::ResendTicket, "resend-ticket"},
    {KeyedOp::StealTicket, "steal-ticket"},
    {KeyedOp::Plain, "plain"},
    {KeyedOp::Refuse, "refuse"},
    {KeyedOp::Deliver, "deliver"},
    {KeyedOp::DeliverOldest, "deliver-oldest"},
    {KeyedOp::Duplicate, "duplicate"},
    {KeyedOp::Drop, "drop"},
    {KeyedOp::TimeOut, "time-out"},
    {KeyedOp::Advance, "advance"},
    {KeyedOp::Restart, "restart"},
    {KeyedOp::SecondAgent, "second-agent"},
    {KeyedOp::Freeze, "freeze"},
    {KeyedOp::RefuseWork, "refuse-work"},
    {KeyedOp::MoveSlot, "move-slot"},
    {KeyedOp::EntryLearns, "entry-learns"},
    {KeyedOp::AgentLearns, "agent-learns"},
    {KeyedOp::Hello, "hello"},
}};

/** Relative frequency of each operation, in the order of the enumeration. */
inline constexpr std::array<std::size_t, 19> keyedOpWeights{6, 4, 1, 12, 3, 20, 40, 4, 3, 3, 8, 2, 2, 2, 2, 2, 3, 3, 4};

/** One random operation; the model state is empty because every operation is valid at any time. */
struct KeyedStepCommand : rc::state::Command<int, KeyedSimulation>
{
    KeyedOp op = KeyedOp::Deliver;
    std::uint32_t a = 0;
    std::uint32_t b = 0;

    KeyedStepCommand()
    {
        std::vector<KeyedOp> choices;
        for (std::size_t i = 0; i < keyedOpWeights.size(); ++i) {
            choices.insert(choices.end(), keyedOpWeights[i], static_cast<KeyedOp>(i));
        }
        op = *rc::gen::elementOf(choices);
        a = *rc::gen::inRange<std::uint32_t>(0, 60);
        b = *rc::gen::inRange<std::uint32_t>(0, 60);
    }

    void run(const int & /*state*/, KeyedSimulation &simulation) const override
    {
        ++simulation.operations;
        simulation.processFaults
            += op == KeyedOp::Restart || op == KeyedOp::SecondAgent || op == KeyedOp::Freeze || op == KeyedOp::MoveSlot
                   ? 1
                   : 0;
        perform(simulation);
    }

    void show(std::ostream &os) const override
    {
        os << nameOf(keyedOpNames, op) << ' ' << a << ' ' << b;
    }

private:
    static const std::string &workspace(std::size_t n)
    {
        static const std::array<std::string, 2> names{"w0", "w1"};
        return names[n % names.size()];
    }

    void resend(KeyedSimulation &simulation, bool isOtherWorkspace) const
    {
        if (!simulation.calls.empty()) {
            const auto call = simulation.calls[b % simulation.calls.size()];
            if (call.logic.kind() == KeyKind::Ticket) {
                simulation.call(
                    a, isOtherWorkspace ? workspace(call.workspace == workspace(0) ? 1 : 0) : call.workspace, call.key);
            }
        }
    }

    void callWithTicket(KeyedSimulation &simulation) const
    {
        const auto ticket = simulation.ticketFrom(a, b);
        if (!ticket.empty()) {
            simulation.call(a, workspace(b), ticket, b % 8 == 0);
        }
    }

    void advance(KeyedSimulation &simulation) const
    {
        // 118 s and 14 s end just before W (120 s) and before the maximum delay of a bind (15 s).
        constexpr std::array<int, 8> seconds{1, 5, 10, 14, 70, 118, 125, 260};
        simulation.advance(std::chrono::seconds(seconds[a % seconds.size()]));
    }

    void perform(KeyedSimulation &simulation) const
    {
        switch (op) {
        case KeyedOp::Ticket:
            return callWithTicket(simulation);
        case KeyedOp::ResendTicket:
            return resend(simulation, false);
        case KeyedOp::StealTicket:
            return resend(simulation, true);
        case KeyedOp::Plain:
            simulation.call(a, workspace(0), simulation.plainKey(b));
            return;
        case KeyedOp::Refuse:
            simulation.call(a, workspace(0), simulation.plainKey(b), true);
            return;
        case KeyedOp::Deliver:
            return simulation.deliver(a * 60 + b);
        case KeyedOp::DeliverOldest:
            for (std::uint32_t i = 0; i <= a % 6; ++i) {
                simulation.deliver(0);
            }
            return;
        case KeyedOp::Duplicate:
            return simulation.duplicate(a * 60 + b);
        case KeyedOp::Drop:
            return simulation.drop(a * 60 + b);
        case KeyedOp::TimeOut:
            return simulation.timeOut(a * 60 + b);
        case KeyedOp::Advance:
            return advance(simulation);
        default:
            return performFault(simulation);
        }
    }

    void performFault(KeyedSimulation &simulation) const
    {
        switch (op) {
        case KeyedOp::Restart:
            return simulation.restartAgent(a);
        case KeyedOp::SecondAgent:
            return simulation.startSecondAgent(a);
        case KeyedOp::Freeze:
            return simulation.toggleFrozen(a);
        case KeyedOp::RefuseWork:
            return simulation.toggleRefusing(a);
        case KeyedOp::MoveSlot:
            return simulation.moveSlot(a, b);
        case KeyedOp::EntryLearns:
            return simulation.passDocumentToEntry(a);
        case KeyedOp::AgentLearns:
            return simulation.passDocumentToAgent(a);
        default:
            return simulation.hello(a, std::size_t{b});
        }
    }
};

/** Counts over all test cases; show that a property does not hold trivially because no calls ran. */
struct KeyedTally
{
    std::size_t calls = 0;
    std::size_t runs = 0;
    std::size_t operations = 0;
    std::size_t processFaults = 0;
    std::size_t keys = 0; ///< Calls, each counted once for all its copies.
    std::size_t once = 0;
    std::size_t twice = 0;
    std::size_t lost = 0; ///< Reported as run, but not run.
    std::size_t notRunThatRan = 0;
    std::map<Verdict, std::size_t> verdicts;
};

inline void count(const KeyedSimulation &simulation, KeyedTally &tally)
{
    for (const auto &it : simulation.records) {
        tally.runs += static_cast<std::size_t>(it.second.runs);
        tally.once += it.second.runs == 1 ? 1 : 0;
        tally.twice += it.second.runs > 1 ? 1 : 0;
        tally.notRunThatRan += it.second.wasReportedNotRun && it.second.runs > 0 ? 1 : 0;
    }
    std::set<std::pair<std::string, std::string>> lost;
    std::set<std::pair<std::string, std::string>> keys;
    for (const auto &it : simulation.calls) {
        const auto key = std::pair(it.workspace, it.key);
        const auto record = simulation.records.find(key);
        keys.insert(key);
        if (it.verdict == Verdict::Run && (record == simulation.records.end() || record->second.runs == 0)) {
            lost.insert(key);
        }
    }
    tally.keys += keys.size();
    tally.lost += lost.size();
    tally.operations += simulation.operations;
    tally.processFaults += simulation.processFaults;
    tally.calls += simulation.calls.size();
    for (const auto &it : simulation.calls) {
        if (it.verdict) {
            ++tally.verdicts[*it.verdict];
        }
    }
}

/** Searches for a sequence of operations that breaks the invariant; returns an empty text if it finds none. */
inline std::string
keyedCounterexample(const std::string &name, KeyedInvariant invariant, KeyedPolicy policy, int cases, KeyedTally &tally)
{
    return counterexample(name, fuzzParams(600, cases), [=, &tally] {
        KeyedSimulation simulation(policy);
        rc::state::check(0, simulation, rc::state::gen::execOneOfWithArgs<KeyedStepCommand>());
        count(simulation, tally);
        RC_ASSERT(simulation.violations[invariant] == std::string());
    });
}

/** Checks the invariant with all mechanisms enabled, and that each verdict was reported at least once. */
inline void expectInvariant(const std::string &name, KeyedInvariant invariant)
{
    KeyedTally tally;
    const auto text = keyedCounterexample(name, invariant, {}, 3000, tally);
    CPPUNIT_ASSERT_MESSAGE(text, text.empty());
    std::cout << '\n' << name << ": " << tally.calls << " calls, " << tally.runs << " runs";
    for (const auto &it : verdictNames) {
        std::cout << ", " << tally.verdicts[it.value] << ' ' << it.name;
        CPPUNIT_ASSERT(tally.verdicts[it.value] > 0);
    }
    std::cout << "\nfigures: point=" << (invariant == KeyedInvariant::AtMostOnce ? "I4" : "I3")
              << " operations=" << tally.operations << " faults=" << tally.processFaults << " sent=" << tally.keys
              << " once=" << tally.once << " twice=" << tally.twice << " lost=" << tally.lost
              << " not_run_that_ran=" << tally.notRunThatRan << '\n';
}

/** Checks that the search finds a violation with the text @p what under a policy that disables a mechanism. */
inline void
expectViolation(const std::string &name, KeyedInvariant invariant, KeyedPolicy policy, const std::string &what)
{
    KeyedTally tally;
    const auto text = keyedCounterexample(name, invariant, policy, 20000, tally);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + text, text.find(what) != std::string::npos);
    if (std::getenv("FUZZ_SHOW") != nullptr) {
        std::cout << '\n' << text;
    }
}

} // namespace turmericline
