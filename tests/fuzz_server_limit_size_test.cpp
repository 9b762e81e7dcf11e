#include "fuzz_property.h"
#include "server_limit_property.h"

#include <iostream>

using namespace turmericline;
using namespace turmericline::server_limit_property;

/** Guards the limit that a server states, and its use, in fleets of different sizes. */
class ServerLimitSizeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerLimitSizeTest);
    CPPUNIT_TEST(limitIsKeptAndUsedByNineGateways);
    CPPUNIT_TEST(limitIsKeptAndUsedByHundreds);
    CPPUNIT_TEST(limitIsKeptAndUsedByThousands);
    CPPUNIT_TEST(everyGatewayHasItsTurn);
    CPPUNIT_TEST_SUITE_END();

    static void expectKeptAndUsed(std::size_t gateways, const std::vector<double> &limits)
    {
        for (const double limit : limits) {
            LimitScenario scenario;
            scenario.gateways = gateways;
            scenario.limit = limit;
            scenario.demand = std::max(10.0, 3 * limit);
            ServerLimitSimulation simulation(fuzzParams(0, 0).seed, scenario);
            simulation.stateLimit(limit);
            simulation.advance(14s);
            const auto from = *simulation.firstStatedAt() + reactionTime;
            const auto most = simulation.mostArrivals(from, window);
            const auto begin = from + reactionTime + 500ms;
            const auto used = simulation.arrivalsBetween(begin, begin + 10s);
            std::cout << '\n'
                      << gateways << " gateways, limit " << limit << ": " << most << " in 4 s, "
                      << allowedArrivals(limit) << " allowed; " << used << " in 10 s, " << leastArrivals(limit, 10s)
                      << " needed; " << simulation.gatewaysWithoutLimit() << " not told, " << simulation.permitCalls
                      << " calls for permits, " << simulation.peerBytes << " bytes in " << simulation.peerMessages
                      << " messages";
            CPPUNIT_ASSERT(most <= allowedArrivals(limit));
            CPPUNIT_ASSERT(used >= leastArrivals(limit, 10s));
        }
    }

public:
    void limitIsKeptAndUsedByNineGateways()
    {
        expectKeptAndUsed(9, {0.5, 1, 5, 50, 200});
    }

    void limitIsKeptAndUsedByHundreds()
    {
        expectKeptAndUsed(149, {0.5, 1, 5, 50, 200});
    }

    void limitIsKeptAndUsedByThousands()
    {
        expectKeptAndUsed(1'900, {0.5, 200});
    }

    void everyGatewayHasItsTurn()
    {
        LimitScenario scenario;
        scenario.demand = 50;
        ServerLimitSimulation simulation(fuzzParams(0, 0).seed, scenario);
        simulation.stateLimit(1);
        simulation.advance(2s);
        simulation.forgetServed();
        simulation.advance(100s);
        CPPUNIT_ASSERT_EQUAL(scenario.gateways, simulation.servingGateways());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerLimitSizeTest);
