#pragma once

#include "fair_queue_type.h"

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace turmericline {

/**
 * Queue of an agent in front of its backend server. It has one lane per class and start-time fair queueing between the
 * workspaces of a lane, so that the waiting time of a workspace depends on its own backlog and not on that of others.
 */
class FairQueue
{
public:
    explicit FairQueue(FairQueueConfig config = {});

    /**
     * Queues a call or refuses it at once. Queued calls that are shed to make room are added to @p shed; they have not
     * been run.
     */
    QueueDecision offer(TimePoint now, const QueuedCall &call, std::vector<QueuedCall> &shed);
    /** Takes the next call to start, if a slot is free. Calls that can no longer meet their deadline go to @p late. */
    std::optional<QueuedCall> start(TimePoint now, std::vector<QueuedCall> &late);
    /** Must be called when a call returned by start() has ended. */
    void finish(TimePoint now, std::uint64_t id);
    /** Removes a waiting call; returns false if it is not waiting. */
    bool cancel(std::uint64_t id);
    void setSlots(std::uint32_t slots);

    std::size_t waiting() const;
    std::size_t running() const;
    /** Returns the expected time until a call like @p call would start. */
    std::chrono::duration<double> expectedWait(const QueuedCall &call) const;
    std::chrono::duration<double> expectedService(double cost) const;

private:
    struct Waiting
    {
        QueuedCall call;
        double startTag = 0;
        double finishTag = 0;
        std::uint64_t order = 0;
    };

    struct Running
    {
        std::uint64_t id = 0;
        RequestClass requestClass = RequestClass::Interactive;
        double cost = 0;
        TimePoint since{};
    };

    struct Lane
    {
        std::vector<Waiting> waiting;
        std::unordered_map<WorkspaceKey, double> lastFinish; ///< Finish tags above the virtual time.
        double virtualTime = 0;
    };

    Lane &lane(RequestClass c);
    const Lane &lane(RequestClass c) const;
    double startTagOf(const QueuedCall &call) const;
    bool makeRoom(const QueuedCall &call, double finishTag, std::vector<QueuedCall> &shed);
    void dropLate(TimePoint now, std::vector<QueuedCall> &late);
    bool isSlotFree(RequestClass c) const;
    std::optional<RequestClass> nextClass() const;
    QueuedCall take(RequestClass c);
    std::chrono::milliseconds retryAfter(const QueuedCall &call) const;

    FairQueueConfig m_config;
    std::array<Lane, 3> m_lanes;
    std::vector<Running> m_running;
    std::uint64_t m_order = 0;
    std::uint32_t m_startsSinceBatch = 0;
    double m_secondsPerCost;
};

} // namespace turmericline
