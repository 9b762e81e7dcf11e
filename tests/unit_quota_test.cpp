#include "quota.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards the single rules of leases, which the bounds of the fuzz test do not distinguish. */
class QuotaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuotaTest);
    CPPUNIT_TEST(unspentLeaseExpires);
    CPPUNIT_TEST(tokensAreChargedAndCorrected);
    CPPUNIT_TEST(unreachableOwnerLeavesTheEvenPart);
    CPPUNIT_TEST(ownerDividesMaxMin);
    CPPUNIT_TEST_SUITE_END();

    static constexpr QuotaAmount even{2, 200};
    static constexpr QuotaAmount limit{100, 100'000};
    const TimePoint m_start{1000s};

    /** Spends once, takes the resulting lease request and grants @p amount for it. */
    static void lease(QuotaClient &client, TimePoint now, const QuotaAmount &amount)
    {
        client.spend(now, 1, even, 10);
        const auto requests = client.takeDueRequests(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
        client.onGrant(now, {1, requests[0].sequence, amount});
    }

    static bool isAdmitted(QuotaClient &client, TimePoint now, double tokens)
    {
        return client.spend(now, 1, even, tokens).verdict == QuotaVerdict::Admit;
    }

public:
    /** If leases could be spent for longer than their second, unspent ones would add up over the entries. */
    void unspentLeaseExpires()
    {
        QuotaClient client;
        lease(client, m_start, {50, 5000});
        CPPUNIT_ASSERT(isAdmitted(client, m_start + 900ms, 10));
        int admitted = 0;
        for (int i = 0; i < 20; ++i) {
            admitted += isAdmitted(client, m_start + 1000ms, 10) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1, admitted);
    }

    /** If charges were never corrected, callers with high estimates would be refused too often. */
    void tokensAreChargedAndCorrected()
    {
        QuotaClient client;
        lease(client, m_start, {50, 1010});
        CPPUNIT_ASSERT(isAdmitted(client, m_start, 1000));
        CPPUNIT_ASSERT(!isAdmitted(client, m_start, 10));
        client.correct(m_start, 1, 1000, 400);
        CPPUNIT_ASSERT(isAdmitted(client, m_start, 10));
    }

    /** Without a reachable owner, the workspace must neither be blocked nor exceed its limit. */
    void unreachableOwnerLeavesTheEvenPart()
    {
        QuotaClient client;
        int admitted = 0;
        for (auto now = m_start; now < m_start + 10s; now += 10ms) {
            admitted += isAdmitted(client, now, 10) ? 1 : 0;
            client.takeDueRequests(now);
        }
        CPPUNIT_ASSERT(admitted >= 18 && admitted <= 22);
    }

    /** An entry with a small demand gets all of it, although another entry demands more than the limit. */
    void ownerDividesMaxMin()
    {
        QuotaOwner owner(QuotaOwnerConfig{1, 0, 1});
        double large = 0;
        double small = 0;
        std::uint32_t sequence = 0;
        for (auto now = m_start; now < m_start + 10s; now += 500ms) {
            large += owner.onLeaseRequest(now, 1, {1, ++sequence, {1000, 1000}, {}}, limit)->amount.requests;
            small += owner.onLeaseRequest(now, 2, {1, ++sequence, {20, 20}, {}}, limit)->amount.requests;
        }
        CPPUNIT_ASSERT(small >= 190);
        CPPUNIT_ASSERT(large >= 700 && large + small <= 1100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);
