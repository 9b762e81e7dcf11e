#pragma once

#include "document_type.h"
#include "quota_type.h"

#include <cstdint>
#include <limits>

namespace turmericline {

/** One call that waits for a slot of the backend server. */
struct QueuedCall
{
    std::uint64_t id = 0; ///< Chosen by the user of the queue, unique among waiting and running calls.
    WorkspaceKey workspace = 0;
    RequestClass requestClass = RequestClass::Interactive;
    double cost = 1; ///< Expected work in tokens.
    double weight = 1; ///< Of the workspace's plan.
    TimePoint deadline = TimePoint::max();
};

enum class QueueVerdict {
    Queued,
    Full, ///< Nothing of a lower class or of a workspace with more waiting work could be shed.
    TooLate, ///< It could not end before its deadline.
};

struct QueueDecision
{
    QueueVerdict verdict = QueueVerdict::Queued;
    std::chrono::milliseconds retryAfter{0}; ///< For refused calls: when the queue is expected to have room.
};

struct FairQueueConfig
{
    std::uint32_t slots = 8; ///< Calls that the backend server runs at a time.
    std::uint32_t urgentSlots = 1; ///< Of these, kept free for urgent calls.
    std::uint32_t maxLength = 256;
    std::uint32_t batchEvery = 8; ///< A waiting batch call starts after this many starts of other classes.
    double initialSecondsPerCost = 0.001; ///< Service time of one token in one slot, until it is observed.
};

} // namespace turmericline
