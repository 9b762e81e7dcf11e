#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace turmericline {

/** Latency distribution in constant memory; percentiles are at most 1/128 above the exact value. */
class LatencyStats
{
public:
    /** Negative durations count as 0. */
    void record(std::chrono::nanoseconds latency);
    void merge(const LatencyStats &other);

    std::uint64_t count() const;
    std::chrono::nanoseconds max() const;
    /** Smallest bound that @p share (0 to 1) of the samples do not exceed (nearest rank); 0 without samples. */
    std::chrono::nanoseconds percentile(double share) const;

private:
    std::vector<std::uint64_t> m_buckets; ///< Grows up to the largest sample's bucket.
    std::uint64_t m_count = 0;
    std::uint64_t m_max = 0;
};

} // namespace turmericline
