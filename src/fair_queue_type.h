#pragma once

#include "document_type.h"
#include "quota_type.h"

#include <cstdint>
#include <limits>

namespace turmericline {

/** A call that waits for a slot of the backend server. */
struct QueuedCall
{
    std::uint64_t id = 0; ///< Chosen by the caller; unique among waiting and running calls.
    WorkspaceKey workspace = 0;
    RequestClass requestClass = RequestClass::Interactive;
    double cost = 1; ///< Expected work in tokens.
    double weight = 1; ///< Weight of the workspace's plan.
    TimePoint deadline = TimePoint::max();
};

enum class QueueVerdict {
    Queued,
    Full, ///< The queue is full, and no call of a lower class or of a workspace with a longer backlog could be shed.
    TooLate, ///< The call is not expected to end before its deadline.
};

struct QueueDecision
{
    QueueVerdict verdict = QueueVerdict::Queued;
    std::chrono::milliseconds retryAfter{0}; ///< For refused calls: expected time until the queue has room.
};

struct FairQueueConfig
{
    std::uint32_t slots = 8; ///< Calls that the backend server runs at a time.
    std::uint32_t urgentSlots = 1; ///< Slots reserved for urgent calls.
    std::uint32_t maxLength = 256; ///< Largest number of waiting calls.
    std::uint32_t batchEvery = 8; ///< A waiting batch call starts after this many starts of other classes.
    double initialSecondsPerCost = 0.001; ///< Initial estimate of the service time of one token in one slot.
};

} // namespace turmericline
