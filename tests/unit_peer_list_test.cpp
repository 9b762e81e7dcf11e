#include "peer_list.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards against gateways that lose each other after a cut, and against a dead one that is kept alive by hearsay. */
class PeerListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerListTest);
    CPPUNIT_TEST(startsWithSeeds);
    CPPUNIT_TEST(silentPeerIsTriedAgain);
    CPPUNIT_TEST(relayedAgesDoNotKeepPeerAlive);
    CPPUNIT_TEST(peersAreForgotten);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now{1'000s};
    std::mt19937_64 m_random{7};
    PeerList m_peers{"10.0.0.1:7", {"10.0.0.1:7", "10.0.0.2:7"}};

public:
    void startsWithSeeds()
    {
        CPPUNIT_ASSERT(m_peers.chooseLive(m_now, 4, m_random).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7"), m_peers.chooseSilent(m_now, m_random));
        m_peers.merge(m_now, {"10.0.0.2:7", 0ms});
        m_peers.merge(m_now, {"10.0.0.1:7", 0ms});
        CPPUNIT_ASSERT(m_peers.chooseLive(m_now, 4, m_random) == std::vector<std::string>{"10.0.0.2:7"});
        CPPUNIT_ASSERT(m_peers.chooseSilent(m_now, m_random).empty());
        m_peers.setSeeds({"10.0.0.3:7"});
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:7"), m_peers.chooseSilent(m_now, m_random));
    }

    void silentPeerIsTriedAgain()
    {
        m_peers.merge(m_now, {"10.0.0.2:7", 0ms});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_peers.liveCount(m_now));
        m_now += 20s;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_peers.liveCount(m_now));
        CPPUNIT_ASSERT(m_peers.chooseLive(m_now, 4, m_random).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7"), m_peers.chooseSilent(m_now, m_random));
        CPPUNIT_ASSERT(m_peers.sample(m_now, 4, m_random).empty());
    }

    void relayedAgesDoNotKeepPeerAlive()
    {
        PeerList other("10.0.0.3:7", {});
        m_peers.merge(m_now, {"10.0.0.2:7", 0ms});
        for (int i = 0; i < 10; ++i) {
            m_now += 1s;
            for (const auto &it : m_peers.sample(m_now, 4, m_random)) {
                other.merge(m_now, it);
            }
            for (const auto &it : other.sample(m_now, 4, m_random)) {
                m_peers.merge(m_now, it);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_peers.liveCount(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, other.liveCount(m_now));
    }

    void peersAreForgotten()
    {
        m_peers.merge(m_now, {"10.0.0.4:7", 0ms});
        m_now += 300s;
        m_peers.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:7"), m_peers.chooseSilent(m_now, m_random));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerListTest);
