#include "health.h"
#include "route.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace turmericline;
using namespace std::chrono_literals;

/** Checks the choice of servers, and how the instance list, own traffic and other entries' reports determine health. */
class RouteTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTest);
    CPPUNIT_TEST(prefersAffinityServerUntilOverloaded);
    CPPUNIT_TEST(skipsUnroutableServers);
    CPPUNIT_TEST(oldReportsDecayToMean);
    CPPUNIT_TEST(prefixMemoryIsBounded);
    CPPUNIT_TEST(failuresSuspectAndProbesRestore);
    CPPUNIT_TEST(probesOneAtATime);
    CPPUNIT_TEST(ownTrafficOutweighsListAndReports);
    CPPUNIT_TEST(leavingOverridesOtherStates);
    CPPUNIT_TEST(slownessHasHysteresis);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};
    RouteRandom m_random{1};
    BoundedAffinityPolicy m_policy;

    RouteTable makeTable() const
    {
        RouteTable table;
        for (ServerKey key = 1; key <= 4; ++key) {
            table.add(m_now - 60s, key, 10, 0s);
            table.onReport(m_now, key, 2, 0s);
        }
        return table;
    }

    std::map<ServerKey, int> chooseMany(RouteTable &table, TimePoint now)
    {
        std::map<ServerKey, int> counts;
        for (int i = 0; i < 1000; ++i) {
            counts[table.choose(now, {77, 5000}, m_policy, m_random).value_or(0)] += 1;
        }
        return counts;
    }

public:
    void prefersAffinityServerUntilOverloaded()
    {
        RouteTable table = makeTable();
        const auto unloaded = chooseMany(table, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unloaded.size());
        const ServerKey preferred = unloaded.begin()->first;
        table.onReport(m_now, preferred, 30, 0s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chooseMany(table, m_now).count(preferred));
    }

    void skipsUnroutableServers()
    {
        RouteTable table = makeTable();
        table.setHealth(1, false, 1);
        const std::vector<ServerKey> excluded{2, 3};
        CPPUNIT_ASSERT(table.choose(m_now, {}, m_policy, m_random, excluded) == ServerKey{4});
        table.setHealth(4, false, 1);
        CPPUNIT_ASSERT(!table.choose(m_now, {}, m_policy, m_random, excluded));
    }

    /** A load report trusted for too long would send the requests of all entries to one server. */
    void oldReportsDecayToMean()
    {
        RouteTable table = makeTable();
        table.onReport(m_now, 1, 40, 0s);
        CPPUNIT_ASSERT_EQUAL(0, chooseMany(table, m_now)[1]);
        int later = 0;
        for (int i = 0; i < 1000; ++i) {
            later += table.choose(m_now + 60s, {}, m_policy, m_random) == ServerKey{1} ? 1 : 0;
        }
        CPPUNIT_ASSERT(later > 150 && later < 350);
    }

    void prefixMemoryIsBounded()
    {
        PrefixMemory memory(100);
        for (std::uint64_t i = 1; i <= 1000; ++i) {
            memory.store(m_now, i, 5);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, memory.size());
        CPPUNIT_ASSERT(memory.find(m_now, 1000, 10s) == ServerKey{5});
        CPPUNIT_ASSERT(!memory.find(m_now, 1, 10s));
        CPPUNIT_ASSERT(!memory.find(m_now + 11s, 1000, 10s));
    }

    void failuresSuspectAndProbesRestore()
    {
        HealthTable health;
        health.add(m_now, 1);
        health.onFailure(m_now, 1);
        health.onFailure(m_now, 1);
        CPPUNIT_ASSERT(health.isRoutable(m_now, 1));
        health.onFailure(m_now, 1);
        CPPUNIT_ASSERT(health.state(m_now, 1) == HealthState::Suspected);
        CPPUNIT_ASSERT(!health.takeProbe(m_now + 500ms, 1));
        CPPUNIT_ASSERT(health.takeProbe(m_now + 1s, 1));
        CPPUNIT_ASSERT(!health.takeProbe(m_now + 1s, 1));
        health.onSuccess(m_now + 1s, 1, 9, 20ms);
        CPPUNIT_ASSERT(!health.isRoutable(m_now + 1s, 1));
        health.onSuccess(m_now + 2s, 1, 9, 20ms);
        CPPUNIT_ASSERT(health.isRoutable(m_now + 2s, 1));
    }

    /**
     * Simultaneous probes from all entries overload a server that has recovered; it then answers them too late to be
     * trusted again.
     */
    void probesOneAtATime()
    {
        const HealthConfig config;
        HealthTable health(config);
        health.add(m_now, 1);
        for (unsigned i = 0; i < config.failuresToSuspect; ++i) {
            health.onFailure(m_now, 1);
        }
        auto now = m_now + config.probePeriod;
        CPPUNIT_ASSERT(health.takeProbe(now, 1));
        CPPUNIT_ASSERT(!health.takeProbe(now + config.probeTimeout - 1ms, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, health.suspects(8).size());
        now += config.probePeriod;
        health.onSuccess(now, 1, 9, 1ms);
        CPPUNIT_ASSERT_MESSAGE("suspicion reported although the server answers", health.suspects(8).empty());
        CPPUNIT_ASSERT(health.takeProbe(now, 1));
        health.onFailure(now, 1);
        now += config.probePeriod;
        CPPUNIT_ASSERT(health.takeProbe(now, 1));
        health.onEnd(1);
        now += config.probePeriod;
        CPPUNIT_ASSERT_MESSAGE("a rejection blocks further probes", health.takeProbe(now, 1));
        CPPUNIT_ASSERT_MESSAGE("no more probes after a lost one", health.takeProbe(now + config.probeTimeout, 1));
    }

    /** The instance list can be stale by up to 30 s, and the reporting entry may itself be cut off from the network. */
    void ownTrafficOutweighsListAndReports()
    {
        HealthTable health;
        health.add(m_now, 1);
        health.onSuccess(m_now, 1, 9, 20ms);
        health.setListed(m_now, 1, ListedState::Absent);
        health.onReport(m_now, 101, {1, 9, HealthState::Suspected});
        health.onReport(m_now, 102, {1, 9, HealthState::Suspected});
        CPPUNIT_ASSERT(health.isRoutable(m_now + 1s, 1));
        CPPUNIT_ASSERT(health.state(m_now + 3s, 1) == HealthState::Suspected);
        CPPUNIT_ASSERT(health.isRoutable(m_now + 6s, 1));
        CPPUNIT_ASSERT(health.state(m_now + 31s, 1) == HealthState::Gone);
    }

    void leavingOverridesOtherStates()
    {
        HealthTable health;
        health.add(m_now, 1);
        health.onSuccess(m_now, 1, 9, 20ms);
        health.setListed(m_now, 1, ListedState::Leaving);
        CPPUNIT_ASSERT(health.state(m_now, 1) == HealthState::Leaving);
        health.setListed(m_now, 1, ListedState::Live);
        health.setLeaving(1, true);
        CPPUNIT_ASSERT(health.state(m_now, 1) == HealthState::Leaving);
    }

    void slownessHasHysteresis()
    {
        HealthTable health;
        const auto run = [&](std::chrono::milliseconds latency, int ticks) {
            for (int i = 0; i < ticks; ++i) {
                for (ServerKey key = 1; key <= 5; ++key) {
                    health.add(m_now, key);
                    for (int n = 0; n < 100; ++n) {
                        health.onSuccess(m_now, key, 9, key == 1 ? latency : 20ms);
                    }
                }
                health.tick(m_now);
            }
            return health.state(m_now, 1);
        };
        CPPUNIT_ASSERT(run(60ms, 2) == HealthState::Live);
        CPPUNIT_ASSERT(run(60ms, 1) == HealthState::Slow);
        CPPUNIT_ASSERT(run(35ms, 10) == HealthState::Slow);
        CPPUNIT_ASSERT(run(25ms, 3) == HealthState::Live);
        CPPUNIT_ASSERT(run(35ms, 10) == HealthState::Live);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTest);
