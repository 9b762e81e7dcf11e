#include "quota_cluster.h"
#include "quota_wire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace turmericline;

namespace {

struct Nothing
{
};

using Command = rc::state::Command<Nothing, QuotaCluster>;

/** Returns the largest amount that may be spent within @p seconds, as derived in docs/limits-and-fairness.md. */
QuotaAmount bound(const QuotaCluster &cluster, int seconds, double largestRequest)
{
    const double entries = QuotaCluster::domains * QuotaCluster::entriesPerDomain;
    double limits = seconds + 2.0;
    if (cluster.hadFallbackWithin(seconds + 2)) {
        limits += seconds + 2.0;
    }
    if (cluster.hadOwnerChangeWithin(60)) {
        limits += seconds + 2.0;
    }
    return {QuotaCluster::limit.requests * limits + entries + QuotaCluster::domains,
            QuotaCluster::limit.tokens * limits + entries * largestRequest};
}

constexpr double largestRequest = 400;

void checkBounds(const QuotaCluster &cluster)
{
    for (const int seconds : {1, 3, 10}) {
        const QuotaAmount spent = cluster.spentWithin(seconds);
        const QuotaAmount most = bound(cluster, seconds, largestRequest);
        RC_ASSERT(spent.requests <= most.requests);
        RC_ASSERT(spent.tokens <= most.tokens);
        if (!cluster.hadOwnerChangeWithin(60)) {
            const QuotaAmount granted = cluster.grantedWithin(seconds);
            RC_ASSERT(granted.requests <= QuotaCluster::limit.requests * (seconds + 1) + QuotaCluster::domains);
            RC_ASSERT(granted.tokens <= QuotaCluster::limit.tokens * (seconds + 1));
        }
    }
}

struct Spend : Command
{
    int entry = *rc::gen::inRange(0, QuotaCluster::domains *QuotaCluster::entriesPerDomain);
    int count = *rc::gen::inRange(1, 30);
    int tokens = *rc::gen::inRange(1, static_cast<int>(largestRequest));
    int times = *rc::gen::inRange(1, 40);

    void run(const Nothing &, QuotaCluster &sut) const override
    {
        // Lasts up to 4 s, long enough for the domain to borrow from the others.
        for (int i = 0; i < times; ++i) {
            sut.spend(entry, count, tokens);
            sut.advance(100);
            checkBounds(sut);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Spend(" << entry << ", " << count << ", " << tokens << ", " << times << ")";
    }
};

/** Loads all entries equally; in the first round they start one after the other. */
struct Flood : Command
{
    int count = *rc::gen::inRange(1, 20);
    int times = *rc::gen::inRange(1, 40);

    void run(const Nothing &, QuotaCluster &sut) const override
    {
        for (int i = 0; i < times; ++i) {
            for (int entry = 0; entry < QuotaCluster::domains * QuotaCluster::entriesPerDomain; ++entry) {
                sut.spend(entry, count, 50);
                sut.advance(i == 0 ? 50 : 10);
                checkBounds(sut);
            }
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Flood(" << count << ", " << times << ")";
    }
};

struct Advance : Command
{
    int ms = *rc::gen::inRange(10, 3000);

    void run(const Nothing &, QuotaCluster &sut) const override
    {
        sut.advance(ms);
        checkBounds(sut);
    }

    void show(std::ostream &os) const override
    {
        os << "Advance(" << ms << ")";
    }
};

struct Cut : Command
{
    int domain = *rc::gen::inRange(0, QuotaCluster::domains);
    bool isCut = *rc::gen::arbitrary<bool>();

    void run(const Nothing &, QuotaCluster &sut) const override
    {
        sut.setCut(domain, isCut);
    }

    void show(std::ostream &os) const override
    {
        os << "Cut(" << domain << ", " << isCut << ")";
    }
};

struct ReplaceOwner : Command
{
    int domain = *rc::gen::inRange(0, QuotaCluster::domains);

    void run(const Nothing &, QuotaCluster &sut) const override
    {
        sut.replaceOwner(domain);
    }

    void show(std::ostream &os) const override
    {
        os << "ReplaceOwner(" << domain << ")";
    }
};

/** Checks that the shares of all domains never add up to more than the limit. */
struct CheckShares : Command
{
    void run(const Nothing &, QuotaCluster &sut) const override
    {
        RC_ASSERT(sut.largestShareSum() <= wholeShare);
    }

    void show(std::ostream &os) const override
    {
        os << "CheckShares";
    }
};

template<typename... Commands>
void fuzz(const std::string &name, QuotaNetwork network)
{
    const bool isHolding = rc::check(name, [&] {
        QuotaCluster cluster(network, *rc::gen::arbitrary<unsigned>());
        rc::state::check(Nothing{}, cluster, rc::state::gen::execOneOfWithArgs<Commands...>());
    });
    CPPUNIT_ASSERT_MESSAGE(name, isHolding);
}

void setFuzzParameters()
{
    const char *seed = std::getenv("FUZZ_SEED");
    const char *steps = std::getenv("FUZZ_STEPS");
    const std::string params
        = "seed=" + std::string(seed ? seed : "7") + " max_success=" + std::string(steps ? steps : "200");
    setenv("RC_PARAMS", params.c_str(), 0);
}

} // namespace

/** Guards against a workspace exceeding its limit plus the stated burst, whatever happens to the messages. */
class FuzzQuotaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FuzzQuotaTest);
    CPPUNIT_TEST(staysWithinBoundUnderLossAndCuts);
    CPPUNIT_TEST(sharesStayWithinTheWholeOverOwnerChanges);
    CPPUNIT_TEST(staysWithinBoundUnderAllFaults);
    CPPUNIT_TEST(survivesArbitraryBytes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        setFuzzParameters();
    }

    void staysWithinBoundUnderLossAndCuts()
    {
        fuzz<Spend, Flood, Advance, Cut, CheckShares>("loss, repetition, delay and cuts", {0.2, 0.2, 300, 2500});
    }

    void sharesStayWithinTheWholeOverOwnerChanges()
    {
        // The property only holds if answers arrive within the settle time of 2 s.
        fuzz<Spend, Advance, ReplaceOwner, CheckShares>("owner changes without loss", {0, 0.3, 50, 900});
    }

    void staysWithinBoundUnderAllFaults()
    {
        fuzz<Spend, Flood, Advance, Cut, ReplaceOwner>("all faults", {0.2, 0.2, 300, 2500});
    }

    /** A message of another program version or a corrupted one must not crash the process. */
    void survivesArbitraryBytes()
    {
        const bool isHolding = rc::check("decoder", [](std::uint16_t rate, const std::vector<std::uint8_t> &noise) {
            QuotaMessage message;
            message.sender = 1;
            message.leaseRequests.push_back({2, 3, {rate / 7.0, rate / 3.0}, {0, 1}});
            message.shareReplies.push_back({2, 1, 4, 5, 6});
            std::string bytes = encodeQuotaMessage(message);
            const auto read = decodeQuotaMessage(bytes);
            RC_ASSERT(read && read->leaseRequests.size() == 1 && read->shareReplies[0].lent == 6);
            for (const auto it : noise) {
                bytes[it % bytes.size()] ^= static_cast<char>(it);
                decodeQuotaMessage(bytes);
            }
            decodeQuotaMessage({reinterpret_cast<const char *>(noise.data()), noise.size()});
        });
        CPPUNIT_ASSERT(isHolding);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzQuotaTest);
