#include "gateway_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

/** Requests that a server with a limit may get from all gateways together in some time, by the project's aim. */
double allowedArrivals(double limit, std::chrono::duration<double> time)
{
    constexpr double window = 4;
    constexpr double burst = 5;
    return limit * std::max(time.count(), window) + burst;
}

} // namespace

/** Guards against several gateways each sending a server as much as it takes from all of them together. */
class ServerLimitProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitProcessTest);
    CPPUNIT_TEST(limitHoldsOverAllGateways);
    CPPUNIT_TEST(limitHoldsAtGatewaysThatStart);
    CPPUNIT_TEST(limitedServersAreUsed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t gatewayCount = 3;
    static constexpr std::size_t limited = 0;

    using Clock = std::chrono::steady_clock;

    asio::io_context m_io;
    std::unique_ptr<GatewayFleet> m_fleet;

    RawAnswer call(std::size_t i)
    {
        return m_fleet->call(i % gatewayCount, "body");
    }

    void sendUntilAnswered(std::size_t server, std::size_t n)
    {
        const auto end = m_fleet->arrivalsAt(server) + n;
        for (std::size_t i = 0; m_fleet->arrivalsAt(server) < end; ++i) {
            call(i);
        }
    }

    /** Sends requests, of which the limited server would get an equal part if it had no limit. */
    void expectLimitIsKept(double limit)
    {
        constexpr std::size_t requests = 240;
        const auto before = m_fleet->arrivalsAt(limited);
        const auto start = Clock::now();
        for (std::size_t i = 0; i < requests; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, call(i).status);
        }
        const auto arrivals = static_cast<double>(m_fleet->arrivalsAt(limited) - before);
        const auto allowed = allowedArrivals(limit, Clock::now() - start);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrivals, {} allowed", arrivals, allowed), arrivals <= allowed);
    }

public:
    void setUp() override
    {
        m_fleet = std::make_unique<GatewayFleet>(m_io, gatewayCount);
    }

    void tearDown() override
    {
        m_fleet.reset();
        m_io.restart();
        m_io.poll();
    }

    void limitHoldsOverAllGateways()
    {
        m_fleet->stateLimit(limited, "1");
        sendUntilAnswered(limited, 1);
        expectLimitIsKept(1);
    }

    /** A gateway that starts has no answer of the server yet, and must learn the limit from the others. */
    void limitHoldsAtGatewaysThatStart()
    {
        m_fleet->stateLimit(limited, "1");
        sendUntilAnswered(limited, 1);
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            m_fleet->startGateway(i);
        }
        expectLimitIsKept(1);
    }

    /** If all servers have limits, requests are refused with a time to come back, and each server is still used. */
    void limitedServersAreUsed()
    {
        constexpr double limit = 20;
        constexpr std::size_t answers = 30;
        for (std::size_t i = 0; i < GatewayFleet::serverCount; ++i) {
            m_fleet->stateLimit(i, "20");
            sendUntilAnswered(i, 1);
        }
        std::vector<std::size_t> before;
        for (std::size_t i = 0; i < GatewayFleet::serverCount; ++i) {
            before.push_back(m_fleet->arrivalsAt(i));
        }
        const auto start = Clock::now();
        std::vector<std::size_t> served(gatewayCount);
        std::size_t refused = 0;
        for (std::size_t i = 0; m_fleet->arrivalsAt(limited) < before[limited] + answers; ++i) {
            const auto answer = call(i);
            served[i % gatewayCount] += answer.status == 200 ? 1 : 0;
            refused += answer.status == 503 ? 1 : 0;
            CPPUNIT_ASSERT(answer.status == 200 || !answer.header("Retry-After").empty());
        }
        const auto allowed = allowedArrivals(limit, Clock::now() - start);
        for (std::size_t i = 0; i < GatewayFleet::serverCount; ++i) {
            const auto arrivals = static_cast<double>(m_fleet->arrivalsAt(i) - before[i]);
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{} arrivals, {} allowed", arrivals, allowed), arrivals <= allowed);
        }
        CPPUNIT_ASSERT(refused > 0);
        for (const auto it : served) {
            CPPUNIT_ASSERT(it > 0);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitProcessTest);
