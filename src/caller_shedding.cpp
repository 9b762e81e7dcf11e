#include "caller_shedding.h"

#include "memory_budget.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <tuple>

namespace turmericline {

std::vector<std::size_t>
chooseCallersToClose(TimePoint now, std::span<const CallerUsage> callers, std::size_t bytes, std::size_t holderBytes)
{
    const std::size_t atLeast = holderBytes > MemoryBudget::smallBytes ? MemoryBudget::smallBytes + 1 : 1;
    std::vector<std::size_t> order;
    for (std::size_t n = 0; n < callers.size(); ++n) {
        if (!callers[n].isServed && callers[n].bytes >= atLeast) {
            order.push_back(n);
        }
    }
    const auto rank = [&](std::size_t n) {
        const auto &it = callers[n];
        const std::chrono::duration<double> stalled = now - it.lastProgressAt;
        const bool isLarge = it.bytes > MemoryBudget::smallBytes;
        return std::tuple(isLarge, static_cast<double>(it.bytes) * (1 + stalled.count()));
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return rank(a) > rank(b);
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < order.size() && freed < bytes) {
        freed += callers[order[count]].bytes;
        ++count;
    }
    order.resize(count);
    return order;
}

std::size_t chooseCallerToReplace(std::span<const CallerUsage> callers)
{
    std::size_t best = callers.size();
    for (std::size_t n = 0; n < callers.size(); ++n) {
        const auto &it = callers[n];
        if (it.isServed) {
            continue;
        }
        const auto isBefore = [&](const CallerUsage &other) {
            return std::tuple(!it.isIdle, it.lastProgressAt) < std::tuple(!other.isIdle, other.lastProgressAt);
        };
        if (best == callers.size() || isBefore(callers[best])) {
            best = n;
        }
    }
    return best;
}

} // namespace turmericline
