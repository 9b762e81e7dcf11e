// Measures the time of one decision of each module, at the sizes of the target environment.
#include "bench_util.h"
#include "fair_queue.h"
#include "health.h"
#include "quota.h"
#include "route.h"

#include <chrono>

using namespace turmericline;
using namespace turmericline::bench;

namespace {

constexpr int iterations = 200'000;

/** Returns the mean time of @p action in microseconds; the action receives the number of the iteration. */
template<typename Action>
double measure(Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < iterations; ++i) {
        action(i);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / iterations;
}

TimePoint timeOf(int iteration)
{
    return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(iteration));
}

double measureRoute()
{
    RouteTable table;
    for (ServerKey key = 1; key <= 64; ++key) {
        table.add(timeOf(0), key, 16, Seconds(0.001));
    }
    BoundedAffinityPolicy policy;
    RouteRandom random(1);
    return measure([&](int i) {
        const RouteRequest request{static_cast<std::uint64_t>(i % 5000) + 1, 1000};
        const auto key = table.choose(timeOf(i), request, policy, random);
        table.onStart(timeOf(i), *key, request);
        table.onEnd(*key);
    });
}

double measureSpend()
{
    QuotaClient client;
    return measure([&](int i) {
        client.spend(timeOf(i), static_cast<WorkspaceKey>(i % 14'000), {0.1, 100}, 400);
    });
}

double measureLease()
{
    QuotaOwner owner(QuotaOwnerConfig{1, 0, 13});
    return measure([&](int i) {
        const auto entry = static_cast<EntryKey>(i % 146) + 1;
        owner.onLeaseRequest(timeOf(i), entry, {7, static_cast<std::uint32_t>(i + 1), {10, 4000}, {}}, {2000, 800'000});
    });
}

double measureQueue()
{
    FairQueue queue({16, 1, 256});
    std::vector<QueuedCall> out;
    for (std::uint64_t i = 0; i < 255; ++i) {
        queue.offer(timeOf(0), {1'000'000 + i, i % 20, RequestClass::Interactive, 200}, out);
    }
    return measure([&](int i) {
        const auto id = static_cast<std::uint64_t>(i);
        queue.offer(timeOf(i), {id, id % 20, RequestClass::Interactive, 200}, out);
        out.clear();
        if (const auto call = queue.start(timeOf(i), out)) {
            queue.finish(timeOf(i), call->id);
        }
    });
}

} // namespace

int main()
{
    Report report("time of one decision", {"microseconds"});
    report.add("route, 64 servers", {measureRoute()});
    report.add("spend, 14000 workspaces", {measureSpend()});
    report.add("lease for one of 146 entries", {measureLease()});
    report.add("offer, start, finish with 255 waiting", {measureQueue()});
}
