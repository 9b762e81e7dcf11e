#include "admission_simulation.h"
#include "env_number.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <iostream>

using namespace turmericline;

/** Guards against late answers for all priorities in an overload, and against refusals in the wrong order of priority. */
class AdmissionFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionFuzzTest);
    CPPUNIT_TEST(admissionServesMoreInTime);
    CPPUNIT_TEST(lessUrgentRequestsGiveWayFirst);
    CPPUNIT_TEST(wrongEstimatesKeepTheOrder);
    CPPUNIT_TEST(withoutPrioritiesTheOrderIsLost);
    CPPUNIT_TEST_SUITE_END();

    using Results = std::array<KindResult, 3>;

    void forEachSeed(const std::function<void(std::uint64_t)> &run) const
    {
        for (std::uint64_t n = 0; n < envNumber("FUZZ_SEEDS", 3); ++n) {
            run(envNumber("FUZZ_SEED", 1) + n);
        }
    }

    static double creditOf(const Results &results)
    {
        return results[0].credit + results[1].credit + results[2].credit;
    }

    static double refusedShare(const KindResult &it)
    {
        return static_cast<double>(it.refused) / static_cast<double>(it.offered);
    }

    static std::string describe(std::uint64_t seed, const Results &results)
    {
        std::string text = "seed " + std::to_string(seed);
        for (const auto &it : results) {
            text += "; " + std::to_string(it.offered) + " offered, " + std::to_string(it.inTime) + " in time, "
                    + std::to_string(it.late) + " late, " + std::to_string(it.refused) + " refused, credit "
                    + std::to_string(static_cast<int>(it.credit));
        }
        return text;
    }

    static Results play(std::uint64_t seed, AdmissionPolicy policy, const AdmissionScenario &scenario = {})
    {
        const auto results = AdmissionSimulation(seed, policy, scenario).run();
        if (std::getenv("FUZZ_VERBOSE") != nullptr) {
            std::cout << describe(seed, results) << std::endl;
        }
        return results;
    }

    static void expectOrder(std::uint64_t seed, const Results &results)
    {
        const auto text = describe(seed, results);
        CPPUNIT_ASSERT_MESSAGE(text, refusedShare(results[0]) <= refusedShare(results[1]));
        CPPUNIT_ASSERT_MESSAGE(text, refusedShare(results[1]) <= refusedShare(results[2]));
        CPPUNIT_ASSERT_MESSAGE(text, results[2].refused > 0);
    }

public:
    void admissionServesMoreInTime()
    {
        forEachSeed([](std::uint64_t seed) {
            const auto none = play(seed, AdmissionPolicy::None);
            const auto limited = play(seed, AdmissionPolicy::ByPriority);
            const auto text = describe(seed, none) + " / " + describe(seed, limited);
            CPPUNIT_ASSERT_MESSAGE(text, creditOf(limited) > creditOf(none));
            CPPUNIT_ASSERT_MESSAGE(text, limited[0].inTime > none[0].inTime);
        });
    }

    void lessUrgentRequestsGiveWayFirst()
    {
        forEachSeed([](std::uint64_t seed) {
            for (const std::size_t gateways : {3, 35, 149}) {
                AdmissionScenario scenario;
                scenario.gateways = gateways;
                expectOrder(seed, play(seed, AdmissionPolicy::ByPriority, scenario));
            }
        });
    }

    void wrongEstimatesKeepTheOrder()
    {
        forEachSeed([](std::uint64_t seed) {
            for (const double error : {0.67, 1.33}) {
                AdmissionScenario scenario;
                scenario.engineError = error;
                scenario.hintError = error > 1 ? 4 : 0.25;
                expectOrder(seed, play(seed, AdmissionPolicy::ByPriority, scenario));
            }
        });
    }

    /** Negative control: the order comes from the priorities. */
    void withoutPrioritiesTheOrderIsLost()
    {
        const auto results = play(1, AdmissionPolicy::SamePriority);
        CPPUNIT_ASSERT_MESSAGE(describe(1, results), results[0].refused > 0);
        CPPUNIT_ASSERT_MESSAGE(describe(1, results), refusedShare(results[2]) < 2 * refusedShare(results[0]));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionFuzzTest);
