#include "fair_queue.h"

#include <algorithm>

namespace turmericline {

namespace {

// Weight of the latest call in the moving average of the service time, which covers about the last 20 calls.
constexpr double observationWeight = 0.05;
constexpr std::array<RequestClass, 3> classes{RequestClass::Urgent, RequestClass::Interactive, RequestClass::Batch};

using Seconds = std::chrono::duration<double>;

} // namespace

FairQueue::FairQueue(FairQueueConfig config)
    : m_config(config)
    , m_secondsPerCost(config.initialSecondsPerCost)
{
}

FairQueue::Lane &FairQueue::lane(RequestClass c)
{
    return m_lanes[static_cast<std::size_t>(c)];
}

const FairQueue::Lane &FairQueue::lane(RequestClass c) const
{
    return m_lanes[static_cast<std::size_t>(c)];
}

std::size_t FairQueue::waiting() const
{
    return m_lanes[0].waiting.size() + m_lanes[1].waiting.size() + m_lanes[2].waiting.size();
}

std::size_t FairQueue::running() const
{
    return m_running.size();
}

void FairQueue::setSlots(std::uint32_t slots)
{
    m_config.slots = std::max(slots, 1U);
}

Seconds FairQueue::expectedService(double cost) const
{
    return Seconds(cost * m_secondsPerCost);
}

double FairQueue::startTagOf(const QueuedCall &call) const
{
    const Lane &own = lane(call.requestClass);
    const auto it = own.lastFinish.find(call.workspace);
    return it == own.lastFinish.end() ? own.virtualTime : std::max(own.virtualTime, it->second);
}

/** Estimated from the work that starts before the call, divided by the number of slots that its class may use. */
Seconds FairQueue::expectedWait(const QueuedCall &call) const
{
    const bool isUrgent = call.requestClass == RequestClass::Urgent;
    const std::uint32_t reserved = isUrgent ? 0 : std::min(m_config.urgentSlots, m_config.slots - 1);
    const auto usable = static_cast<double>(m_config.slots - reserved);
    if (static_cast<double>(m_running.size()) < usable && lane(call.requestClass).waiting.empty()) {
        return Seconds(0);
    }
    double work = 0;
    for (const RequestClass c : classes) {
        for (const Waiting &it : lane(c).waiting) {
            const bool isBefore = c < call.requestClass || (c == call.requestClass && it.startTag <= startTagOf(call));
            work += isBefore ? it.call.cost : 0;
        }
    }
    // On average, half of the work of the running calls is still to be done.
    for (const Running &it : m_running) {
        work += it.cost / 2;
    }
    return Seconds(work * m_secondsPerCost / usable);
}

std::chrono::milliseconds FairQueue::retryAfter(const QueuedCall &call) const
{
    const double wait = expectedWait(call).count();
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(wait, 0.1, 30.0) * 1000));
}

/** Sheds the call that would run last: batch before interactive, and none if @p call itself would run last. */
bool FairQueue::makeRoom(const QueuedCall &call, double finishTag, std::vector<QueuedCall> &shed)
{
    for (auto c = classes.rbegin(); c != classes.rend() && *c >= call.requestClass; ++c) {
        auto &list = lane(*c).waiting;
        const auto last = std::max_element(list.begin(), list.end(), [](const Waiting &a, const Waiting &b) {
            return std::pair(a.finishTag, a.order) < std::pair(b.finishTag, b.order);
        });
        if (last == list.end() || (*c == call.requestClass && last->finishTag <= finishTag)) {
            continue;
        }
        shed.push_back(last->call);
        cancel(last->call.id);
        return true;
    }
    return false;
}

QueueDecision FairQueue::offer(TimePoint now, const QueuedCall &call, std::vector<QueuedCall> &shed)
{
    const auto end = expectedWait(call) + expectedService(call.cost);
    if (call.deadline != TimePoint::max() && end > call.deadline - now) {
        return {QueueVerdict::TooLate, retryAfter(call)};
    }
    const double startTag = startTagOf(call);
    const double finishTag = startTag + call.cost / std::max(call.weight, 1e-6);
    if (waiting() >= m_config.maxLength && !makeRoom(call, finishTag, shed)) {
        return {QueueVerdict::Full, retryAfter(call)};
    }
    Lane &own = lane(call.requestClass);
    own.waiting.push_back({call, startTag, finishTag, ++m_order});
    own.lastFinish[call.workspace] = finishTag;
    return {};
}

void FairQueue::dropLate(TimePoint now, std::vector<QueuedCall> &late)
{
    for (Lane &it : m_lanes) {
        std::erase_if(it.waiting, [&](const Waiting &w) {
            const bool isLate
                = w.call.deadline != TimePoint::max() && now + expectedService(w.call.cost) > w.call.deadline;
            if (isLate) {
                late.push_back(w.call);
            }
            return isLate;
        });
    }
}

bool FairQueue::isSlotFree(RequestClass c) const
{
    if (c == RequestClass::Urgent) {
        return m_running.size() < m_config.slots;
    }
    const auto urgent
        = static_cast<std::size_t>(std::count_if(m_running.begin(), m_running.end(), [](const Running &it) {
              return it.requestClass == RequestClass::Urgent;
          }));
    const std::size_t reserved = std::min(m_config.urgentSlots, m_config.slots - 1);
    return m_running.size() < m_config.slots && m_running.size() - urgent < m_config.slots - reserved;
}

std::optional<RequestClass> FairQueue::nextClass() const
{
    const auto canStart = [this](RequestClass c) {
        return !lane(c).waiting.empty() && isSlotFree(c);
    };
    if (canStart(RequestClass::Urgent)) {
        return RequestClass::Urgent;
    }
    // Without this rule, interactive load near capacity would starve batch calls.
    if (canStart(RequestClass::Batch) && m_startsSinceBatch + 1 >= m_config.batchEvery) {
        return RequestClass::Batch;
    }
    if (canStart(RequestClass::Interactive)) {
        return RequestClass::Interactive;
    }
    return canStart(RequestClass::Batch) ? std::optional(RequestClass::Batch) : std::nullopt;
}

QueuedCall FairQueue::take(RequestClass c)
{
    Lane &own = lane(c);
    const auto first = std::min_element(own.waiting.begin(), own.waiting.end(), [](const Waiting &a, const Waiting &b) {
        return std::pair(a.startTag, a.order) < std::pair(b.startTag, b.order);
    });
    const QueuedCall call = first->call;
    own.virtualTime = std::max(own.virtualTime, first->startTag);
    own.waiting.erase(first);
    std::erase_if(own.lastFinish, [&](const auto &it) {
        return it.second <= own.virtualTime;
    });
    return call;
}

std::optional<QueuedCall> FairQueue::start(TimePoint now, std::vector<QueuedCall> &late)
{
    dropLate(now, late);
    const auto c = nextClass();
    if (!c) {
        return std::nullopt;
    }
    m_startsSinceBatch = *c == RequestClass::Batch ? 0 : m_startsSinceBatch + 1;
    const QueuedCall call = take(*c);
    m_running.push_back({call.id, call.requestClass, call.cost, now});
    return call;
}

void FairQueue::finish(TimePoint now, std::uint64_t id)
{
    const auto it = std::find_if(m_running.begin(), m_running.end(), [id](const Running &r) {
        return r.id == id;
    });
    if (it == m_running.end()) {
        return;
    }
    const double perCost = Seconds(now - it->since).count() / std::max(it->cost, 1e-6);
    m_secondsPerCost += observationWeight * (perCost - m_secondsPerCost);
    m_running.erase(it);
}

bool FairQueue::cancel(std::uint64_t id)
{
    for (Lane &own : m_lanes) {
        const auto it = std::find_if(own.waiting.begin(), own.waiting.end(), [id](const Waiting &w) {
            return w.call.id == id;
        });
        if (it != own.waiting.end()) {
            // Tags of later calls of the workspace stay as they are, so it is charged at most for its cancelled calls.
            const auto last = own.lastFinish.find(it->call.workspace);
            if (last != own.lastFinish.end() && last->second == it->finishTag) {
                last->second = it->startTag;
            }
            own.waiting.erase(it);
            return true;
        }
    }
    return false;
}

} // namespace turmericline
