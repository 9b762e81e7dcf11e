#include "agent_isolation.h"
#include "reserved_port.h"
#include "suspect_codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against calls that crash the backend server of an agent unnoticed, because their callers leave before. */
class AgentIsolationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentIsolationTest);
    CPPUNIT_TEST(cancelledCallIsSuspectedBesideABrokenOne);
    CPPUNIT_TEST(cancelledCallAloneIsSuspected);
    CPPUNIT_TEST(outlivedCallIsNotSuspected);
    CPPUNIT_TEST(callThatGotOnIsNotSuspected);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint64_t firstRun = 7;

    asio::io_context m_io;
    ReservedPort m_port{m_io}; ///< Nothing listens there.
    AgentSettings m_settings;
    SuspectSync m_suspects{300s};
    std::unique_ptr<AgentIsolation> m_isolation;
    bool m_hasFailed = false;

    std::shared_ptr<AgentCall> startCall(const std::string &body, std::chrono::milliseconds deadline = 10s)
    {
        auto call = std::make_shared<AgentCall>();
        call->fingerprint = formatFingerprint(fingerprintOf("w", "t", body));
        call->parts = {partFingerprint("s", body.size())};
        call->deadline = AgentCall::Clock::now() + deadline;
        m_isolation->admit(call);
        return call;
    }

    void cancel(const std::shared_ptr<AgentCall> &call)
    {
        m_isolation->abandon(call);
        m_isolation->end(call);
    }

    /** Runs the probe that follows a broken connection. */
    void breakConnection(const std::shared_ptr<AgentCall> &call)
    {
        m_isolation->onConnectionBroken(call, "reset");
        while (!m_hasFailed) {
            m_io.run_one();
        }
    }

    bool isSuspected(const std::shared_ptr<AgentCall> &call) const
    {
        return m_suspects.decide(call->fingerprint).action == SuspectAction::RunAlone;
    }

    std::size_t crashesOfPart(const std::shared_ptr<AgentCall> &call) const
    {
        for (const auto &it : m_suspects.recentParts(100)) {
            if (it.part == call->parts.front()) {
                return it.crashes.size();
            }
        }
        return 0;
    }

public:
    void setUp() override
    {
        m_settings.server = "b";
        m_settings.domain = "d";
        m_settings.backendUrl = "http://" + m_port.address();
        AgentIsolationHandlers handlers;
        handlers.start = [](const auto &call) {
            call->isRunning = true;
            call->startedAt = AgentCall::Clock::now();
            call->lastDataAt = call->startedAt;
        };
        handlers.fail = [this](const auto &, const std::string &) {
            m_hasFailed = true;
        };
        handlers.resume = [] {};
        m_isolation = std::make_unique<AgentIsolation>(m_io, m_settings, firstRun, m_suspects, std::move(handlers));
    }

    void cancelledCallIsSuspectedBesideABrokenOne()
    {
        const auto left = startCall("left");
        const auto other = startCall("another");
        cancel(left);
        breakConnection(other);
        CPPUNIT_ASSERT(isSuspected(left) && isSuspected(other));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashesOfPart(left));
    }

    /** The next call finds that nothing listens any longer. */
    void cancelledCallAloneIsSuspected()
    {
        const auto left = startCall("left");
        cancel(left);
        CPPUNIT_ASSERT(!isSuspected(left));
        m_isolation->onUnreachable();
        while (!isSuspected(left)) {
            m_io.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashesOfPart(left));
        m_io.poll(); // The cancelled timer of the probe.
        m_isolation->onUnreachable();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_io.poll());
    }

    void outlivedCallIsNotSuspected()
    {
        const auto left = startCall("left");
        left->deadline = AgentCall::Clock::now() - 1s;
        const auto other = startCall("another");
        cancel(left);
        m_isolation->onAlive(other);
        breakConnection(other);
        CPPUNIT_ASSERT(!isSuspected(left) && isSuspected(other));
    }

    void callThatGotOnIsNotSuspected()
    {
        const auto left = startCall("left");
        left->firstDataAt = left->startedAt;
        left->lastDataAt = left->startedAt + 200ms;
        const auto other = startCall("another");
        cancel(left);
        breakConnection(other);
        CPPUNIT_ASSERT(!isSuspected(left) && isSuspected(other));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentIsolationTest);
