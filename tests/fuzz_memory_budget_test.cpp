#include "caller_shedding.h"
#include "env_number.h"
#include "memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards the accounting of callers' memory, and which connections are closed when it is used up. */
class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(anySequenceLeavesNothingHeld);
    CPPUNIT_TEST(smallHoldersFindMemoryBesideLargeOnes);
    CPPUNIT_TEST(shrinkingNeverFails);
    CPPUNIT_TEST(largestStalledCallersAreClosedFirst);
    CPPUNIT_TEST(largeRequestClosesNoSmallOnes);
    CPPUNIT_TEST(servedRequestsAreNeverClosed);
    CPPUNIT_TEST(longestIdleCallerIsReplaced);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t limit = 8U << 20U;
    const TimePoint m_now{1'000s};

public:
    void anySequenceLeavesNothingHeld()
    {
        std::mt19937_64 random(envNumber("FUZZ_SEED", 1));
        const auto budget = std::make_shared<MemoryBudget>(limit);
        std::vector<std::unique_ptr<MemoryReservation>> holders;
        for (int step = 0; step < 200'000; ++step) {
            const auto n = holders.empty() ? 0 : random() % holders.size();
            switch (random() % 4) {
            case 0: // A caller connects.
                holders.push_back(std::make_unique<MemoryReservation>(budget));
                break;
            case 1: // It leaves, is refused, or fails.
                if (!holders.empty()) {
                    holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(n));
                }
                break;
            case 2: // It sends more.
                if (!holders.empty()) {
                    const auto before = holders[n]->bytes();
                    const bool isHeld = holders[n]->resize(before + random() % (512U << 10U));
                    CPPUNIT_ASSERT(isHeld || holders[n]->bytes() == before);
                }
                break;
            default: // Its request has been answered.
                if (!holders.empty()) {
                    CPPUNIT_ASSERT(holders[n]->resize(random() % (holders[n]->bytes() + 1)));
                }
                break;
            }
            std::size_t sum = 0;
            for (const auto &it : holders) {
                sum += it->bytes();
            }
            CPPUNIT_ASSERT_EQUAL(sum, budget->used());
            CPPUNIT_ASSERT(budget->used() <= limit);
        }
        holders.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget->used());
    }

    void smallHoldersFindMemoryBesideLargeOnes()
    {
        const auto budget = std::make_shared<MemoryBudget>(limit);
        std::vector<std::unique_ptr<MemoryReservation>> large;
        do {
            large.push_back(std::make_unique<MemoryReservation>(budget));
        } while (large.back()->resize(1U << 20U));
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, large.size());
        MemoryReservation small(budget);
        CPPUNIT_ASSERT(small.resize(MemoryBudget::smallBytes));
    }

    void shrinkingNeverFails()
    {
        const auto budget = std::make_shared<MemoryBudget>(limit);
        MemoryReservation small(budget);
        MemoryReservation large(budget);
        CPPUNIT_ASSERT(large.resize(limit * 3 / 4));
        CPPUNIT_ASSERT(small.resize(MemoryBudget::smallBytes));
        CPPUNIT_ASSERT(large.resize(limit * 3 / 4 - 1));
        CPPUNIT_ASSERT(!large.resize(limit));
        CPPUNIT_ASSERT_EQUAL(limit * 3 / 4 - 1, large.bytes());
    }

    void largestStalledCallersAreClosedFirst()
    {
        const std::vector<CallerUsage> callers{
            {1'000, m_now - 60s, false, false}, // Small, however long it has stalled.
            {4'000'000, m_now - 10s, false, false},
            {4'000'000, m_now, false, false}, // Still sends.
            {1'000'000, m_now - 10s, false, false},
        };
        const auto one = chooseCallersToClose(m_now, callers, 1, 1);
        CPPUNIT_ASSERT(one == std::vector<std::size_t>{1});
        const auto three = chooseCallersToClose(m_now, callers, 8'500'000, 1);
        CPPUNIT_ASSERT(three == (std::vector<std::size_t>{1, 3, 2}));
    }

    void largeRequestClosesNoSmallOnes()
    {
        const std::vector<CallerUsage> callers{{1'000, m_now - 60s, false, true}, {100'000, m_now, false, false}};
        CPPUNIT_ASSERT(chooseCallersToClose(m_now, callers, 4'000'000, 200'000) == std::vector<std::size_t>{1});
    }

    void servedRequestsAreNeverClosed()
    {
        const std::vector<CallerUsage> callers{{4'000'000, m_now - 10s, true, false}, {1'000, m_now, false, false}};
        CPPUNIT_ASSERT(chooseCallersToClose(m_now, callers, 5'000'000, 1) == std::vector<std::size_t>{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chooseCallerToReplace(callers));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chooseCallerToReplace(std::span(callers).first(1)));
    }

    void longestIdleCallerIsReplaced()
    {
        const std::vector<CallerUsage> callers{
            {1'000, m_now - 50s, false, false}, // A request that has begun.
            {1'000, m_now - 5s, false, true},
            {1'000, m_now - 9s, false, true},
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chooseCallerToReplace(callers));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chooseCallerToReplace(std::span(callers).first(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
