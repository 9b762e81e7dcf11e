#include "keyed_property.h"

using namespace turmericline;

/** Guards I3 for keyed calls: a call that was reported as not-run to any caller has not run and never will. */
class NotRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NotRunTest);
    CPPUNIT_TEST(notRunIsTrue);
    CPPUNIT_TEST(refusalWithoutSealIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    void notRunIsTrue()
    {
        expectInvariant("true verdicts", KeyedInvariant::TrueVerdict);
    }

    void refusalWithoutSealIsDetected()
    {
        KeyedPolicy policy;
        policy.sealsRefusals = false;
        expectViolation("refusal without seal", KeyedInvariant::TrueVerdict, policy, "not-run");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NotRunTest);
