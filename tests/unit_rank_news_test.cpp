#include "map_delta.h"
#include "rank_report.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;

/**
 * Guards against wrong demand from counters that reset or have a different size, and against wrong maps from deltas
 * that are applied to a missing or different base.
 */
class RankNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RankNewsTest);
    CPPUNIT_TEST(firstReadingSetsTheBaseline);
    CPPUNIT_TEST(restartedRankCountsFromZero);
    CPPUNIT_TEST(addsChoicesOfABlock);
    CPPUNIT_TEST(changesGiveTheFullMap);
    CPPUNIT_TEST(missingOrDifferentBaseIsRejected);
    CPPUNIT_TEST(fullMapNeedsNoBase);
    CPPUNIT_TEST(numbersOfAnotherEpochAreUnknown);
    CPPUNIT_TEST_SUITE_END();

    static RankOrder prepare(MapNumber version, MapNumber base, const LayerMaps &from, const LayerMaps &to)
    {
        RankOrder order;
        order.kind = RankOrderKind::Prepare;
        order.epoch = 1;
        order.version = version;
        order.base = base;
        order.changes = mapChanges(from, to);
        order.digest = mapDigest(to);
        return order;
    }

    const LayerMaps m_first = initialMap(2, 6, 3);
    const LayerMaps m_second = {{{0, 3}, {1, 2, 4}, {2, 5}}, {{0, 3}, {1, 4}, {0, 2, 5}}};
    const LayerMaps m_third = {{{0, 3}, {1, 4}, {2, 5}}, {{0, 1, 3}, {1, 4}, {0, 2, 5}}};

public:
    void firstReadingSetsTheBaseline()
    {
        ChoiceCounter counter;
        CPPUNIT_ASSERT(counter.choicesSinceLast({1, {100, 200}}) == ExpertChoices({0, 0}));
        CPPUNIT_ASSERT(counter.choicesSinceLast({1, {105, 200}}) == ExpertChoices({5, 0}));
    }

    /** Counts that decrease must not wrap around to a huge demand. */
    void restartedRankCountsFromZero()
    {
        ChoiceCounter counter;
        counter.choicesSinceLast({1, {1'000, 2'000}});
        CPPUNIT_ASSERT(counter.choicesSinceLast({2, {1, 7}}) == ExpertChoices({1, 7}));
    }

    void addsChoicesOfABlock()
    {
        GroupReport report;
        merge(report, {{RankReport{}}, {1, 2}});
        merge(report, {{RankReport{}}, {10, 20}});
        merge(report, {{RankReport{}}, {1, 1, 1}});
        CPPUNIT_ASSERT(report.choices == ExpertChoices({11, 22}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, report.ranks.size());
    }

    void changesGiveTheFullMap()
    {
        MapCache cache;
        cache.setInitialMap(2, 6, 3);
        CPPUNIT_ASSERT(cache.resolveMap(prepare(7, 0, m_first, m_second)) == m_second);
        CPPUNIT_ASSERT(cache.resolveMap(prepare(8, 7, m_second, m_third)) == m_third);
        CPPUNIT_ASSERT(cache.resolveMap(prepare(8, 7, m_second, m_third)) == m_third);
    }

    /** Ranks that hold different maps with the same number would break every pass. */
    void missingOrDifferentBaseIsRejected()
    {
        MapCache cache;
        CPPUNIT_ASSERT(!cache.resolveMap(prepare(7, 0, m_first, m_second)));
        cache.setInitialMap(2, 6, 3);
        CPPUNIT_ASSERT(!cache.resolveMap(prepare(8, 7, m_second, m_third)));
        CPPUNIT_ASSERT(!cache.resolveMap(prepare(8, 0, m_second, m_third)));
        auto outside = prepare(8, 0, m_first, m_third);
        outside.changes.push_back({2, 0, {}});
        CPPUNIT_ASSERT(!cache.resolveMap(outside));
    }

    void fullMapNeedsNoBase()
    {
        MapCache cache;
        RankOrder order;
        order.version = 9;
        order.epoch = 1;
        order.map = m_third;
        CPPUNIT_ASSERT(cache.resolveMap(order) == m_third);
        CPPUNIT_ASSERT(cache.resolveMap(prepare(10, 9, m_third, m_second)) == m_second);
    }

    void numbersOfAnotherEpochAreUnknown()
    {
        MapCache cache;
        cache.setInitialMap(2, 6, 3);
        cache.resolveMap(prepare(7, 0, m_first, m_second));
        auto order = prepare(8, 7, m_second, m_third);
        order.epoch = 2;
        CPPUNIT_ASSERT(!cache.resolveMap(order));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RankNewsTest);
