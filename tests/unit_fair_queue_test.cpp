#include "fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace turmericline;
using namespace std::chrono_literals;

/** Guards the order, the reserved slots, the shedding and the deadline check of the agent's queue. */
class FairQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FairQueueTest);
    CPPUNIT_TEST(floodDoesNotDelaySmallWorkspace);
    CPPUNIT_TEST(urgentHasReservedSlot);
    CPPUNIT_TEST(shedsBatchBeforeInteractive);
    CPPUNIT_TEST(fullQueueShedsTheFlood);
    CPPUNIT_TEST(refusesWhatCannotMeetItsDeadline);
    CPPUNIT_TEST(batchIsNotStarved);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};
    std::vector<QueuedCall> m_out;
    std::uint64_t m_id = 0;

    QueueVerdict offer(FairQueue &queue, WorkspaceKey workspace, RequestClass c, TimePoint deadline = TimePoint::max())
    {
        return queue.offer(m_now, {++m_id, workspace, c, 100, 1, deadline}, m_out).verdict;
    }

    std::optional<QueuedCall> runNext(FairQueue &queue)
    {
        const auto call = queue.start(m_now, m_out);
        if (call) {
            queue.finish(m_now + 100ms, call->id);
        }
        return call;
    }

public:
    void floodDoesNotDelaySmallWorkspace()
    {
        FairQueue queue;
        for (int i = 0; i < 50; ++i) {
            offer(queue, 1, RequestClass::Interactive);
        }
        offer(queue, 2, RequestClass::Interactive);
        CPPUNIT_ASSERT_EQUAL(WorkspaceKey{1}, runNext(queue)->workspace);
        CPPUNIT_ASSERT_EQUAL(WorkspaceKey{2}, runNext(queue)->workspace);
    }

    void urgentHasReservedSlot()
    {
        FairQueue queue({4, 1});
        for (int i = 0; i < 10; ++i) {
            offer(queue, 1, RequestClass::Interactive);
        }
        int started = 0;
        while (queue.start(m_now, m_out)) {
            ++started;
        }
        CPPUNIT_ASSERT_EQUAL(3, started);
        offer(queue, 2, RequestClass::Urgent);
        CPPUNIT_ASSERT(queue.start(m_now, m_out)->requestClass == RequestClass::Urgent);
    }

    void shedsBatchBeforeInteractive()
    {
        FairQueue queue({1, 0, 2});
        offer(queue, 1, RequestClass::Interactive);
        offer(queue, 1, RequestClass::Batch);
        CPPUNIT_ASSERT(offer(queue, 2, RequestClass::Batch) == QueueVerdict::Full);
        CPPUNIT_ASSERT(offer(queue, 2, RequestClass::Interactive) == QueueVerdict::Queued);
        CPPUNIT_ASSERT(m_out.size() == 1 && m_out[0].requestClass == RequestClass::Batch);
        CPPUNIT_ASSERT(offer(queue, 3, RequestClass::Urgent) == QueueVerdict::Queued);
        CPPUNIT_ASSERT(m_out.size() == 2 && m_out[1].requestClass == RequestClass::Interactive);
    }

    /** A flood from one workspace must not lock all others out of a full queue. */
    void fullQueueShedsTheFlood()
    {
        FairQueue queue({1, 0, 20});
        for (int i = 0; i < 20; ++i) {
            offer(queue, 1, RequestClass::Interactive);
        }
        CPPUNIT_ASSERT(offer(queue, 1, RequestClass::Interactive) == QueueVerdict::Full);
        CPPUNIT_ASSERT(offer(queue, 2, RequestClass::Interactive) == QueueVerdict::Queued);
        CPPUNIT_ASSERT(m_out.size() == 1 && m_out[0].workspace == 1);
    }

    void refusesWhatCannotMeetItsDeadline()
    {
        FairQueue queue({1, 0, 100, 8, 0.001});
        for (int i = 0; i < 10; ++i) {
            offer(queue, 1, RequestClass::Interactive);
        }
        queue.start(m_now, m_out);
        // Ten calls of 100 ms of the same workspace are ahead of it.
        const auto decision = queue.offer(m_now, {99, 1, RequestClass::Interactive, 100, 1, m_now + 500ms}, m_out);
        CPPUNIT_ASSERT(decision.verdict == QueueVerdict::TooLate);
        CPPUNIT_ASSERT(decision.retryAfter >= 500ms && decision.retryAfter <= 1100ms);
        CPPUNIT_ASSERT(offer(queue, 1, RequestClass::Interactive, m_now + 1500ms) == QueueVerdict::Queued);
    }

    void batchIsNotStarved()
    {
        FairQueue queue({1, 0});
        for (int i = 0; i < 20; ++i) {
            offer(queue, 1, RequestClass::Interactive);
        }
        offer(queue, 1, RequestClass::Batch);
        int before = 0;
        while (runNext(queue)->requestClass != RequestClass::Batch) {
            ++before;
        }
        CPPUNIT_ASSERT_EQUAL(7, before);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);
