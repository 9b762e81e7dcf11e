#include "crashing_part_fixture.h"

/**
 * Guards against a request, or a part of prompts, that is never suspected of crashing servers because its callers leave
 * before the server ends.
 */
class LeavingCallerTest : public CrashingPartFixture
{
    CPPUNIT_TEST_SUITE(LeavingCallerTest);
    CPPUNIT_TEST(requestIsRefusedIfServersStartAgain);
    CPPUNIT_TEST(requestIsRefusedIfServersAreReplaced);
    CPPUNIT_TEST(partIsRefusedIfServersStartAgain);
    CPPUNIT_TEST(partIsRefusedIfServersAreReplaced);
    CPPUNIT_TEST_SUITE_END();

    /** Callers send crashing requests through each gateway in turn and leave, until all gateways refuse them. */
    void expectRefusal(ServerEndMode mode, std::size_t limit, bool isPart)
    {
        mode.isAfterCaller = true;
        startFleet(mode);
        std::size_t refusals = 0;
        for (std::size_t i = 0; refusals < gatewayCount; ++i) {
            const FleetRequest whole{GatewayFleet::crashingBody, GatewayFleet::safePath, {}};
            const auto answer = m_fleet->callAndLeave(i % gatewayCount, isPart ? crashing() : whole);
            refusals = isSuspectRefusal(answer) ? refusals + 1 : 0;
            CPPUNIT_ASSERT(m_fleet->crashCount() <= limit);
            if (answer.status == 0) {
                CPPUNIT_ASSERT(m_fleet->areReportsKnown(GatewayFleet::safePath, isPart));
            }
        }
        CPPUNIT_ASSERT_EQUAL(limit, m_fleet->crashCount());
    }

public:
    void requestIsRefusedIfServersStartAgain()
    {
        expectRefusal({}, 3, false);
    }

    void requestIsRefusedIfServersAreReplaced()
    {
        expectRefusal({.hasNewId = true}, 3, false);
    }

    void partIsRefusedIfServersStartAgain()
    {
        expectRefusal({}, 2, true);
    }

    void partIsRefusedIfServersAreReplaced()
    {
        expectRefusal({.hasNewId = true}, 2, true);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingCallerTest);
