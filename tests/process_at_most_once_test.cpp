#include "fleet.h"

#include <asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

using nlohmann::json;

namespace {

constexpr std::size_t callCount = 200;
constexpr std::size_t faultCount = 12;
/** Between the starts of calls; so faults last both shorter and longer than the entries' ping timeout of 2 s. */
constexpr std::chrono::milliseconds callInterval{30};
constexpr std::size_t maxFaultCalls = 100;

std::uint64_t faultSeed()
{
    const char *text = std::getenv("FUZZ_SEED");
    return text == nullptr ? 20260115 : std::strtoull(text, nullptr, 10);
}

/** One call of a caller, sent as several copies with the same ticket. */
struct KeyedCall
{
    Fleet::Answer ticketAnswer;
    std::size_t entry = 0; ///< Entry that the ticket is requested from.
    std::string ticket;
    std::vector<std::size_t> copyEntries;
    std::vector<Fleet::Answer> copies;

    bool hasVerdict(std::string_view verdict) const
    {
        return std::any_of(copies.begin(), copies.end(), [verdict](const Fleet::Answer &it) {
            return it->header("X-Verdict") == verdict;
        });
    }
};

enum class FaultKind {
    Kill,
    Freeze,
    Terminate, ///< SIGTERM: a draining agent refuses tickets that it has not admitted yet.
};

struct Fault
{
    std::string process;
    FaultKind kind = FaultKind::Kill;
    std::size_t begin = 0; ///< Number of started calls at which the fault begins.
    std::size_t end = 0;
    bool isActive = false;
};

struct Tally
{
    std::size_t sent = 0;
    std::size_t once = 0;
    std::size_t twice = 0;
    std::size_t lost = 0; ///< No copy got a verdict.
    std::size_t notRunThatRan = 0;
    std::size_t runThatDidNot = 0;
    std::size_t mayHaveRun = 0; ///< No copy got a definite verdict.
    std::size_t notRun = 0;

    std::string text() const
    {
        return fmt::format("sent {}, run once {}, run twice {}, lost {}, \"not-run\" that ran {}, may-have-run {} "
                           "(told not-run {}, told run that did not {})",
                           sent,
                           once,
                           twice,
                           lost,
                           notRunThatRan,
                           mayHaveRun,
                           notRun,
                           runThatDidNot);
    }
};

} // namespace

/** Guards I3 and I4 on real processes: no non-idempotent call runs twice, and none reported as not-run has run. */
class AtMostOnceProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AtMostOnceProcessTest);
    CPPUNIT_TEST(withoutFaults);
    CPPUNIT_TEST(withFaults);
    CPPUNIT_TEST(refusedByLeavingServer);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<Fleet> m_fleet;
    std::mt19937_64 m_random;
    std::vector<KeyedCall> m_calls;
    std::vector<Fault> m_faults;

public:
    void setUp() override
    {
        FleetOptions options;
        // Makes it more likely that a fault hits a call that was executed but not answered yet.
        options.serviceArguments = {"--delay-ms", "20"};
        m_fleet = std::make_unique<Fleet>(options);
        m_random.seed(faultSeed());
        m_calls.clear();
        m_faults.clear();
    }

    void tearDown() override
    {
        m_fleet.reset();
    }

    std::size_t randomBelow(std::size_t below)
    {
        return m_random() % below;
    }

    void requestTicket(KeyedCall &call)
    {
        call.ticketAnswer
            = m_fleet->callEntry(Fleet::entries()[call.entry], "/v1/tickets", {{"service", "controller"}});
    }

    void sendCopy(KeyedCall &call, std::size_t entry)
    {
        call.copies.push_back(m_fleet->callEntry(
            Fleet::entries()[entry], "/services/controller/abort", {{"table", 7}}, {{"Idempotency-Key", call.ticket}}));
    }

    void startCall()
    {
        KeyedCall call;
        call.entry = randomBelow(3);
        for (auto n = 1 + randomBelow(3); n > 0; --n) {
            call.copyEntries.push_back(randomBelow(3));
        }
        requestTicket(call);
        m_calls.push_back(std::move(call));
    }

    /** Sends the copies of a call once its ticket has arrived; repeats a failed request for a ticket. */
    void advance(KeyedCall &call)
    {
        if (!call.ticket.empty() || !call.ticketAnswer->done) {
            return;
        }
        if (call.ticketAnswer->status != 200) {
            call.entry = (call.entry + 1) % 3;
            requestTicket(call);
            return;
        }
        call.ticket = json::parse(call.ticketAnswer->body).at("ticket").get<std::string>();
        for (const auto it : call.copyEntries) {
            sendCopy(call, it);
        }
    }

    bool isFinished() const
    {
        return std::all_of(m_calls.begin(), m_calls.end(), [](const KeyedCall &call) {
            return !call.copies.empty()
                   && std::all_of(call.copies.begin(), call.copies.end(), [](const Fleet::Answer &it) {
                          return it->done;
                      });
        });
    }

    void drawFaults()
    {
        const std::vector<std::string> all{"agent-s1", "agent-s2", "agent-s3", "entry-1", "entry-2", "entry-3"};
        for (std::size_t i = 0; i < faultCount; ++i) {
            Fault fault;
            fault.begin = (i + 1) * callCount / (faultCount + 1);
            fault.end = fault.begin + 1 + randomBelow(maxFaultCalls);
            fault.kind = static_cast<FaultKind>(randomBelow(3));
            auto targets = all;
            std::erase_if(targets, [&](const std::string &name) {
                return std::any_of(m_faults.begin(), m_faults.end(), [&](const Fault &it) {
                    return it.process == name && it.end >= fault.begin;
                });
            });
            if (targets.empty()) {
                continue;
            }
            fault.process = targets[randomBelow(targets.size())];
            m_faults.push_back(std::move(fault));
        }
    }

    void beginFault(Fault &fault)
    {
        constexpr std::array<const char *, 3> names{"kill", "freeze", "terminate"};
        constexpr std::array<int, 3> signals{SIGKILL, SIGSTOP, SIGTERM};
        const auto kind = static_cast<std::size_t>(fault.kind);
        std::cout << fmt::format("call {}: {} {}\n", m_calls.size(), names[kind], fault.process);
        fault.isActive = true;
        m_fleet->signal(fault.process, signals[kind]);
    }

    void endFault(Fault &fault)
    {
        fault.isActive = false;
        if (fault.kind == FaultKind::Freeze) {
            m_fleet->signal(fault.process, SIGCONT);
            return;
        }
        const int expected = fault.kind == FaultKind::Kill ? -SIGKILL : 0;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(fault.process, expected, m_fleet->waitExit(fault.process));
        m_fleet->start(fault.process);
    }

    /** Begins and ends the faults that are due after @p calls started calls. */
    void applyFaults(std::size_t calls)
    {
        for (auto &it : m_faults) {
            if (it.isActive && calls >= it.end) {
                endFault(it);
            } else if (!it.isActive && calls >= it.begin && calls < it.end) {
                beginFault(it);
            }
        }
    }

    void runCalls()
    {
        asio::steady_timer timer(m_fleet->io());
        while (m_calls.size() < callCount) {
            startCall();
            applyFaults(m_calls.size());
            bool expired = false;
            timer.expires_after(callInterval);
            timer.async_wait([&expired](asio::error_code) {
                expired = true;
            });
            m_fleet->waitUntil([&] {
                advanceAll();
                return expired;
            });
        }
        // Frozen processes are resumed first, as a terminating process may wait for them.
        std::stable_partition(m_faults.begin(), m_faults.end(), [](const Fault &it) {
            return it.kind == FaultKind::Freeze;
        });
        applyFaults(callCount + maxFaultCalls);
        m_fleet->waitUntil([this] {
            advanceAll();
            return isFinished();
        });
    }

    void advanceAll()
    {
        for (auto &it : m_calls) {
            advance(it);
        }
    }

    /** Sends a copy of every call once more, as if it had been delayed; it must not run a second time. */
    void sendLateCopies()
    {
        for (const auto &it : Fleet::entries()) {
            m_fleet->waitUntil([&] {
                return m_fleet->isReady(it);
            });
        }
        for (auto &it : m_calls) {
            sendCopy(it, randomBelow(3));
        }
        m_fleet->waitUntil([this] {
            return isFinished();
        });
    }

    Tally count()
    {
        std::map<std::string, std::uint64_t> runs;
        for (const auto *service : {"service-1", "service-2", "service-3"}) {
            const auto counts = m_fleet->getJson(service, "/counts");
            for (const auto &[key, n] : counts.items()) {
                runs[key] += n.get<std::uint64_t>();
            }
        }
        Tally tally;
        for (const auto &it : m_calls) {
            const auto n = runs[it.ticket];
            const bool reportedRun = it.hasVerdict("run");
            const bool reportedNotRun = it.hasVerdict("not-run");
            const bool reportedMayHaveRun = it.hasVerdict("may-have-run");
            ++tally.sent;
            tally.once += n == 1 ? 1 : 0;
            tally.twice += n > 1 ? 1 : 0;
            tally.lost += !reportedRun && !reportedNotRun && !reportedMayHaveRun ? 1 : 0;
            tally.notRun += reportedNotRun ? 1 : 0;
            tally.notRunThatRan += reportedNotRun && n > 0 ? 1 : 0;
            tally.runThatDidNot += reportedRun && n == 0 ? 1 : 0;
            tally.mayHaveRun += reportedMayHaveRun && !reportedRun && !reportedNotRun ? 1 : 0;
        }
        std::cout << "\n" << tally.text() << "\n";
        return tally;
    }

    static void check(const Tally &tally)
    {
        const auto message = fmt::format("FUZZ_SEED={}: {}", faultSeed(), tally.text());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, callCount, tally.sent);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(0), tally.twice);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(0), tally.notRunThatRan);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(0), tally.runThatDidNot);
        // Every call gets a verdict, because all processes are up when its late copy is sent.
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(0), tally.lost);
    }

    void withoutFaults()
    {
        runCalls();
        sendLateCopies();
        const auto tally = count();
        check(tally);
        CPPUNIT_ASSERT_EQUAL(callCount, tally.once);
        for (const auto &call : m_calls) {
            for (const auto &it : call.copies) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(it->body, std::string("run"), it->header("X-Verdict"));
                CPPUNIT_ASSERT_EQUAL(call.copies.front()->body, it->body);
            }
        }
    }

    void withFaults()
    {
        drawFaults();
        std::cout << "\nFUZZ_SEED=" << faultSeed() << "\n";
        runCalls();
        std::cout << "before the late copies:";
        count();
        sendLateCopies();
        check(count());
    }

    void setStates(std::string_view state)
    {
        const auto version = m_fleet->publish([&](json &document) {
            for (const auto *it : {"s1", "s2", "s3"}) {
                m_fleet->serverRow(document, it)["state"] = state;
            }
        });
        for (const auto *it : {"agent-s1", "agent-s2", "agent-s3"}) {
            m_fleet->waitUntil([&] {
                return m_fleet->status(it).at("version") == version;
            });
        }
    }

    /** Copies of a call that a leaving server refused as not-run must not run once the server is active again. */
    void refusedByLeavingServer()
    {
        for (int i = 0; i < 20; ++i) {
            startCall();
            auto &call = m_calls.back();
            m_fleet->waitDone({call.ticketAnswer});
            CPPUNIT_ASSERT_EQUAL(200, call.ticketAnswer->status);
            call.ticket = json::parse(call.ticketAnswer->body).at("ticket").get<std::string>();
        }
        for (const auto *state : {"leaving", "active"}) {
            setStates(state);
            sendLateCopies();
        }
        const auto tally = count();
        CPPUNIT_ASSERT_EQUAL(m_calls.size(), tally.notRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), tally.once + tally.twice);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceProcessTest);
