#include "cold_start.h"
#include "env_number.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace turmericline;
using namespace std::chrono_literals;

namespace {

constexpr double coldRate = 15;
constexpr double overshoot = 1.5;
constexpr double slack = 5;
constexpr auto coldTime = 3'000ms;

/**
 * Gateways that all prefer the servers of a failure domain which comes back cold. The oracle counts the arrivals at each
 * server in any second.
 */
class ColdReturn
{
public:
    ColdReturn(std::uint64_t seed, std::size_t gateways, std::size_t servers, double demand)
        : m_random(seed)
        , m_servers(servers)
        , m_demand(demand)
    {
        for (std::size_t n = 0; n < gateways; ++n) {
            addGateway();
        }
    }

    /** Starts one more gateway, as in place of one that was killed; it does not know how many others there are. */
    void restartGateway(std::size_t n)
    {
        m_gateways[n] = makeGateway(unknownFleetSize);
        announce(m_gateways[n]);
    }

    /** The gateway sends nothing until then, and then all that its callers have sent meanwhile. */
    void freeze(std::size_t n, std::chrono::milliseconds time)
    {
        m_gateways[n].frozenUntil = m_now + time;
    }

    void setUnlimited()
    {
        for (auto &it : m_gateways) {
            it.limits.setServices({});
        }
    }

    /** All servers are announced as cold; each gateway hears of it up to 0.8 s later. Returns the most arrivals a second. */
    std::size_t run()
    {
        m_arrivals.assign(m_servers, {});
        for (auto &it : m_gateways) {
            announce(it);
        }
        std::poisson_distribution<int> requests(m_demand * 0.005 / static_cast<double>(m_gateways.size()));
        for (auto end = m_now + coldTime; m_now < end; m_now += 5ms) {
            for (auto &it : m_gateways) {
                it.pending += requests(m_random);
                if (m_now >= it.frozenUntil) {
                    send(it);
                }
            }
        }
        return mostInASecond();
    }

    std::size_t served() const
    {
        std::size_t n = 0;
        for (const auto &it : m_arrivals) {
            n += it.size();
        }
        return n;
    }

private:
    static constexpr std::size_t unknownFleetSize = 100;

    struct Gateway
    {
        ColdStartLimits limits{0};
        int pending = 0;
        TimePoint frozenUntil{};
    };

    Gateway makeGateway(std::size_t fleetSize)
    {
        Gateway it{ColdStartLimits(m_random()), 0, {}};
        RoutingService service;
        service.name = "s";
        service.coldStart = coldTime;
        service.coldRequestsPerSecond = coldRate;
        it.limits.setServices({service});
        it.limits.setGateways(fleetSize);
        return it;
    }

    void addGateway()
    {
        m_gateways.push_back(makeGateway(1));
        for (auto &it : m_gateways) {
            it.limits.setGateways(m_gateways.size());
        }
    }

    void announce(Gateway &gateway)
    {
        for (std::size_t n = 0; n < m_servers; ++n) {
            BackendRecord record;
            record.id = std::to_string(n);
            record.service = "s";
            record.startTimeMs = 1;
            record.coldLeft = coldTime;
            gateway.limits.onAnnounced(m_now, record);
        }
    }

    /** Each request tries the servers from a random one on, as if all had the same load. */
    void send(Gateway &gateway)
    {
        for (; gateway.pending > 0; --gateway.pending) {
            const auto first = m_random() % m_servers;
            for (std::size_t n = 0; n < m_servers; ++n) {
                const auto server = (first + n) % m_servers;
                if (gateway.limits.take(m_now, {std::to_string(server), 1, "d"}).isAllowed) {
                    m_arrivals[server].push_back(m_now);
                    break;
                }
            }
        }
    }

    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        for (const auto &it : m_arrivals) {
            std::size_t first = 0;
            for (std::size_t n = 0; n < it.size(); ++n) {
                while (it[n] - it[first] >= 1s) {
                    ++first;
                }
                most = std::max(most, n - first + 1);
            }
        }
        return most;
    }

    std::mt19937_64 m_random;
    std::size_t m_servers;
    double m_demand; ///< Requests a second of all gateways.
    TimePoint m_now{1'000s};
    std::vector<Gateway> m_gateways;
    std::vector<std::vector<TimePoint>> m_arrivals; ///< By server.
};

} // namespace

/** Guards against more requests to a cold server than it takes, from any number of gateways that cannot talk to each other. */
class ColdStartFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdStartFuzzTest);
    CPPUNIT_TEST(rateHoldsForAnyNumberOfGateways);
    CPPUNIT_TEST(rateHoldsWithFreezesAndRestarts);
    CPPUNIT_TEST(coldServersAreUsed);
    CPPUNIT_TEST(withoutQuotaTheRateIsExceeded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t maxArrivals = static_cast<std::size_t>(coldRate * overshoot + slack);

    const std::uint64_t m_firstSeed = envNumber("FUZZ_SEED", 1);
    const std::uint64_t m_seeds = envNumber("FUZZ_SEEDS", 3);

    void forEachSeed(const std::function<void(std::uint64_t, std::size_t)> &run) const
    {
        for (std::uint64_t seed = m_firstSeed; seed < m_firstSeed + m_seeds; ++seed) {
            for (const std::size_t gateways : {3, 9, 35, 149}) {
                run(seed, gateways);
            }
        }
    }

    static void expectBound(std::size_t most, std::uint64_t seed, std::size_t gateways)
    {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " in a second, seed " + std::to_string(seed) + ", "
                                   + std::to_string(gateways) + " gateways",
                               most <= maxArrivals);
    }

public:
    void rateHoldsForAnyNumberOfGateways()
    {
        forEachSeed([](std::uint64_t seed, std::size_t gateways) {
            ColdReturn model(seed, gateways, 24, 800);
            expectBound(model.run(), seed, gateways);
        });
    }

    void rateHoldsWithFreezesAndRestarts()
    {
        forEachSeed([](std::uint64_t seed, std::size_t gateways) {
            ColdReturn model(seed, gateways, 24, 800);
            model.freeze(0, 1'200ms);
            model.freeze(1, 2'000ms);
            model.restartGateway(2);
            expectBound(model.run(), seed, gateways);
        });
    }

    /** Half of the rate is used where the callers ask for more. */
    void coldServersAreUsed()
    {
        forEachSeed([](std::uint64_t seed, std::size_t gateways) {
            ColdReturn model(seed, gateways, 24, 800);
            model.run();
            const auto possible = static_cast<std::size_t>(coldRate * 24 * 3);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(model.served()) + " of " + std::to_string(possible) + ", "
                                       + std::to_string(gateways) + " gateways",
                                   2 * model.served() > possible);
        });
    }

    /** Negative control: the demand of the model is high enough. */
    void withoutQuotaTheRateIsExceeded()
    {
        ColdReturn model(m_firstSeed, 35, 24, 800);
        model.setUnlimited();
        CPPUNIT_ASSERT(model.run() > maxArrivals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdStartFuzzTest);
