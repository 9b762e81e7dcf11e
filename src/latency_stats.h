#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace turmericline {

/** Latency histogram of bounded size. Percentiles exceed the exact value by at most 1/128 of it. */
class LatencyStats
{
public:
    /** Negative durations count as 0. */
    void record(std::chrono::nanoseconds latency);
    void merge(const LatencyStats &other);

    std::uint64_t count() const;
    std::chrono::nanoseconds max() const;
    /** Percentile for @p share (0 to 1) by the nearest-rank method; 0 without samples. */
    std::chrono::nanoseconds percentile(double share) const;

private:
    std::vector<std::uint64_t> m_buckets; ///< Ends with the bucket of the largest sample.
    std::uint64_t m_count = 0;
    std::uint64_t m_max = 0;
};

} // namespace turmericline
